"""Requests from caller to engine and back over HTTP, with faulty engines."""

import asyncio
import json
import resource
from dataclasses import replace

import pytest

from cyclamenyoke.core.units import KIBIBYTE, MEBIBYTE
from cyclamenyoke.standins.engine import STREAM_EVENTS, Behaviour
from site_fixture import (
    API_KEY,
    HOST,
    caller_headers,
    configuration,
    connect,
    encode_request,
    read_response,
    requests_until,
    route,
    running_site,
    send_request,
)

COMPLETE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, STREAM_EVENTS + 1)
)


def peak_memory() -> int:
    """Return the largest resident size of this process so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE


def sum_of_disconnects(site) -> int:
    return sum(engine.state.disconnected for engine in site.engines.values())


def executed_requests(site):
    return [each for engine in site.engines.values() for each in engine.state.executed]


def script_engines(site, service, *behaviours):
    """Script the next behaviours of every engine of a service."""
    for id_, engine in site.engines.items():
        if service in id_:
            engine.script.extend(behaviours)


async def test_plain_response_is_relayed_with_the_engine_signature():
    async with running_site() as site:
        node = site.gateways[0][1]
        response = await site.get(node, "/lookup/a?b=c", request_id="00aa")
        assert response.status == 200
        assert response.body == b"answer to 00aa"
        assert response.headers["x-response-signature"].startswith("signed-by-i-app")
        [request] = executed_requests(site)
        assert request.target == "/lookup/a?b=c"
        assert request.headers["x-tenant"] == "customer"
        assert "authorization" not in request.headers
        assert request.headers["x-target-instance"].startswith("i-app")
        assert 0 < int(request.headers["x-deadline-ms"]) <= 1500


async def test_gateway_headers_override_those_of_the_caller():
    async with running_site() as site:
        node = site.gateways[0][1]
        forged = {"X_Tenant": "other", "X_Target_Instance": "i-x", "X_Note": "kept"}
        await site.get(node, "/lookup/a", **forged)
        [request] = executed_requests(site)
        assert request.headers["x-tenant"] == "customer"
        assert request.headers["x-target-instance"] != "i-x"
        assert request.headers["x-note"] == "kept"


async def test_engines_get_no_priority_not_even_the_callers():
    """Engines that order their queues by it gave up more requests of each priority."""
    customers = [
        {"name": "c", "api_keys": [API_KEY], "priority": 12},
        {"name": "d", "api_keys": ["other"], "priority": 0},
    ]
    async with running_site(gateways=0, config=False) as site:
        site.publish(configuration(1, tenants=customers))
        await site.add_gateway()
        node = site.gateways[0][1]
        await site.get(node, "/lookup/a", **{"X_Request_Priority": "0"})
        [request] = executed_requests(site)
        assert "x-request-priority" not in request.headers


async def test_chunked_body_reaches_the_engine_unchanged():
    async with running_site() as site:
        node = site.gateways[0][1]
        reader, writer = await connect(node.callers)
        head = encode_request("PUT", "/order/a", caller_headers())[:-2]
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        response = await read_response(reader)
        writer.close()
        assert response.status == 200
        [request] = executed_requests(site)
        assert request.body == b"abcdefg"


async def test_stream_is_relayed_event_by_event():
    async with running_site() as site:
        response = await site.post(site.gateways[0][1], "/stream/a")
        assert response.is_complete
        assert response.body == COMPLETE_STREAM


async def test_interrupted_stream_is_resumed_at_another_engine_in_the_same_response():
    async with running_site() as site:
        script_engines(site, "llm", Behaviour.TRUNCATE)
        for engine in site.engines.values():
            engine.keep_alive = None
        response = await site.post(site.gateways[0][1], "/stream/a")
        runs = executed_requests(site)
        assert len(runs) == 2
        assert runs[0].headers.get("last-event-id") is None or (
            runs[1].headers.get("last-event-id") is None
        )
        # The second engine truncates its stream too, so the response may be incomplete.
        assert response.body == COMPLETE_STREAM[: len(response.body)]
        assert response.is_complete == (response.body == COMPLETE_STREAM)


async def test_resumed_stream_is_complete():
    async with running_site() as site:
        first, second = (e for i, e in site.engines.items() if "llm" in i)
        first.script.append(Behaviour.TRUNCATE)
        responses = []
        while first.script:
            responses.append(await site.post(site.gateways[0][1], "/stream/a"))
        assert all(response.is_complete for response in responses)
        assert all(response.body == COMPLETE_STREAM for response in responses)
        resumed = [
            each for each in second.state.executed if "last-event-id" in each.headers
        ]
        assert [each.headers["last-event-id"] for each in resumed] == ["2"]


async def test_non_resumable_stream_is_truncated_without_a_proper_end():
    async with running_site() as site:
        script_engines(site, "llm", Behaviour.TRUNCATE)
        response = await site.post(site.gateways[0][1], "/single/a")
        assert len(executed_requests(site)) == 1
        assert not response.is_complete
        assert response.body == COMPLETE_STREAM[: len(response.body)]


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.TRUNCATE,
        Behaviour.RESET,
        Behaviour.UNFRAMED_RESET,
        Behaviour.UNSIGNED,
        Behaviour.ENCODED,
    ],
)
async def test_order_with_invalid_response_runs_once_and_is_not_reported_as_not_run(
    behaviour,
):
    async with running_site() as site:
        script_engines(site, "app", behaviour)
        response = await site.post(site.gateways[0][1], "/order/a")
        assert response.status == 502
        assert len(executed_requests(site)) == 1


async def test_order_at_unresponsive_engine_times_out_and_is_not_reported_as_not_run():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.SILENT)
        response = await site.post(site.gateways[0][1], "/order/a", deadline=300)
        assert response.status == 504
        assert len(executed_requests(site)) == 1


async def test_order_rejected_by_engine_is_reported_as_not_run_with_retry_after():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.REJECT)
        response = await site.post(site.gateways[0][1], "/order/a")
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) < 1
        assert executed_requests(site) == []


async def test_rejected_lookup_is_retried_at_another_engine():
    async with running_site() as site:
        first = next(e for i, e in site.engines.items() if "app" in i)
        first.script.extend([Behaviour.REJECT] * 4)
        node = site.gateways[0][1]
        responses = [await site.get(node, "/lookup/a") for _ in range(4)]
        assert {response.status for response in responses} == {200}


async def test_misdirected_order_is_reported_as_not_run():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.MISDIRECT)
        response = await site.post(site.gateways[0][1], "/order/a")
        assert response.status == 503
        assert executed_requests(site) == []


async def test_engine_error_response_is_relayed_unchanged():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.FAIL, Behaviour.FAIL)
        response = await site.post(site.gateways[0][1], "/order/a")
        assert response.status == 500
        assert response.body == b"failed"
        assert "x-response-signature" in response.headers


@pytest.mark.parametrize("behaviour", [Behaviour.EXTRA, Behaviour.WRONG_ID])
async def test_surplus_responses_are_discarded(behaviour):
    async with running_site(engines=1) as site:
        node = site.gateways[0][1]
        site.engines["i-app-0"].script.append(behaviour)
        for number in range(5):
            request_id = f"{number:04x}"
            response = await site.get(node, "/lookup/a", request_id=request_id)
            assert response.status == 200
            assert response.body == f"answer to {request_id}".encode()


async def test_unframed_response_is_complete_when_its_connection_ends():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.UNFRAMED)
        response = await site.post(site.gateways[0][1], "/order/a", request_id="0b")
        assert response.status == 200
        assert response.body == b"answer to 0b"


async def test_engine_connections_are_reused():
    async with running_site(engines=1) as site:
        node = site.gateways[0][1]
        for _ in range(5):
            await site.get(node, "/lookup/a")
        assert site.engines["i-app-0"].state.connections == 1


async def test_connection_closed_by_engine_is_not_reused():
    async with running_site(engines=1) as site:
        node = site.gateways[0][1]
        await site.post(node, "/order/a")
        site.engines["i-app-0"].close_idle()
        await asyncio.sleep(0.05)
        response = await site.post(node, "/order/a")
        assert response.status == 200


async def test_unknown_key_unknown_route_and_missing_id_have_different_statuses():
    async with running_site() as site:
        node = site.gateways[0][1]
        assert (await site.get(node, "/lookup/a", key="unknown")).status == 401
        assert (await site.get(node, "/lookup/a", key=None)).status == 401
        assert (await site.get(node, "/nowhere/a")).status == 404
        response = await send_request(node.callers, "GET", "/lookup/a", {"Host": HOST})
        assert response.status == 400
        assert executed_requests(site) == []


async def test_public_route_needs_no_key_and_longest_prefix_wins():
    async with running_site() as site:
        node = site.gateways[0][1]
        config = configuration(2)
        deep = route("lookup", "safe", "app", public=True, prefix="/lookup/deep/")
        config["routes"].append(deep)
        site.publish(config)
        await site.notify_watches()
        await asyncio.sleep(0.1)
        assert (await site.get(node, "/lookup/deep/a", key=None)).status == 200
        assert (await site.get(node, "/lookup/a", key=None)).status == 401


@pytest.mark.parametrize(
    "raw_request, status",
    [
        (b"GARBAGE\r\n\r\n", 400),
        (b"GET /lookup/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX-Big: " + b"x" * 5000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n", 413),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", 408),
    ],
)
async def test_malformed_requests_are_rejected_and_the_connection_closed(
    raw_request, status
):
    config = configuration(2)
    config["limits"]["idle_timeout_ms"] = 600
    async with running_site() as site:
        site.publish(config)
        await site.notify_watches()
        await asyncio.sleep(0.1)
        reader, writer = await connect(site.gateways[0][1].callers)
        writer.write(raw_request)
        async with asyncio.timeout(3):
            response = await read_response(reader)
            assert response.status == status
            assert await reader.read() == b""
        writer.close()
        assert executed_requests(site) == []


@pytest.mark.parametrize(
    "coding, status",
    [
        (b"gzip, chunked", 501),
        (b"chunked, gzip", 501),
        (b"gzip", 501),
        (b"identity, chunked", 501),
        (b"identity", 501),
        (b"chunked;level=1", 501),
        (b"GZIP ,\tChunked", 501),
        (b"gzip\r\nTransfer-Encoding: chunked", 501),
        (b"chunked\r\nTransfer-Encoding: gzip", 501),
        (b"chunked, chunked", 400),
        (b"chunked\r\nTransfer-Encoding: chunked", 400),
        (b"chunked,", 400),
        (b"chunked\t,", 400),
        (b"chunked\tchunked", 501),
        (b",", 400),
        (b"", 400),
        (b"gzip, chunked\r\nContent-Length: 3", 400),
    ],
)
async def test_unimplemented_transfer_codings_are_rejected_before_the_body(
    coding, status
):
    """Guards against compressed bodies that engines receive as if they were plain."""
    async with running_site() as site:
        reader, writer = await connect(site.gateways[0][1].callers)
        head = encode_request("PUT", "/order/a", caller_headers(Expect="100-continue"))
        writer.write(head[:-2] + b"Transfer-Encoding: " + coding + b"\r\n\r\n")
        async with asyncio.timeout(0.5):
            response = await read_response(reader)
        writer.write(b"3\r\nabc\r\n0\r\n\r\n" + head)
        async with asyncio.timeout(3):
            assert await reader.read() == b""
        writer.close()
        assert (response.status, response.headers["connection"]) == (status, "close")
        assert executed_requests(site) == []


@pytest.mark.parametrize(
    "rejected, status",
    [
        (b"GARBAGE\r\n\r\n", 400),
        (b"PUT / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
    ],
)
async def test_requests_before_a_rejected_one_are_answered_first(rejected, status):
    """Guards against responses that are lost though their requests have run."""
    async with running_site() as site:
        for engine in site.engines.values():
            engine.answer_delay = 0.2
        reader, writer = await connect(site.gateways[0][1].callers)
        requests = [encode_request("GET", "/lookup/a", caller_headers())] * 2
        writer.write(b"".join(requests))
        await asyncio.sleep(0.1)
        writer.write(rejected)
        async with asyncio.timeout(3):
            statuses = [(await read_response(reader)).status for _ in range(3)]
            assert await reader.read() == b""
        writer.close()
        assert statuses == [200, 200, status]


async def test_chunked_is_implemented_in_any_case_and_with_whitespace():
    async with running_site() as site:
        reader, writer = await connect(site.gateways[0][1].callers)
        head = encode_request("PUT", "/order/a", caller_headers())[:-2]
        writer.write(head + b"Transfer-Encoding: \tChunked \r\n\r\n")
        writer.write(b"3\r\nabc\r\n0\r\n\r\n")
        assert (await read_response(reader)).status == 200
        writer.close()
        [request] = executed_requests(site)
        assert request.body == b"abc"


async def test_idle_connections_are_closed_after_the_idle_timeout():
    config = configuration(2)
    config["limits"]["idle_timeout_ms"] = 300
    async with running_site() as site:
        site.publish(config)
        await site.notify_watches()
        await asyncio.sleep(0.1)
        reader, writer = await connect(site.gateways[0][1].callers)
        writer.write(encode_request("GET", "/lookup/a", caller_headers()))
        assert (await read_response(reader)).status == 200
        async with asyncio.timeout(2):
            assert await reader.read() == b""
        writer.close()


async def test_caller_disconnect_cancels_the_engine_call_within_half_a_second():
    async with running_site() as site:
        for engine in site.engines.values():
            engine.event_interval = 0.2
        host, _, port = site.gateways[0][1].callers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode_request("POST", "/stream/a", caller_headers(), b"{}"))
        await asyncio.sleep(0.3)
        writer.close()
        engines = [e for i, e in site.engines.items() if "llm" in i]
        await site.wait_until(
            lambda: sum(e.state.disconnected for e in engines) == 1, 0.5
        )
        assert len(executed_requests(site)) == 1


ENGINE_FIGURES = {
    "step_ms": 4.84,
    "per_seq_ms": 0.87,
    "read_per_s": 74_800,
    "chunk": 512,
    "stride": 7,
    "usual": {"prompt": 870, "answer": 161},
}


async def use_engine_figures(site):
    """Publish a configuration with engine figures; return the gateway's counts."""
    gateway = site.gateways[0][0]
    services = [{"name": "llm", "engine": ENGINE_FIGURES}, {"name": "app"}]
    site.publish(configuration(2, services=services))
    await site.notify_watches()
    await site.wait_until(lambda: gateway._cluster_state.config.version == 2)
    return gateway._balancer.prompt_tokens


async def test_prompt_is_unread_until_the_first_event_and_gone_with_its_caller():
    """Tokens that stay counted would keep requests away from an engine for ever."""
    async with running_site() as site:
        counts = await use_engine_figures(site)
        for engine in site.engines.values():
            engine.event_interval = 0.2
        gateway, node, _ = site.gateways[0]
        _, writer = await connect(node.callers)
        headers = caller_headers(X_Token_Usage="2000,161")
        writer.write(encode_request("POST", "/stream/a", headers, b"{}"))
        await site.wait_until(lambda: list(counts.own_context.values()) == [2161])
        await site.wait_until(lambda: counts.own_context and not counts.own_unread)
        writer.close()
        await site.wait_until(lambda: not counts.own_context, 0.5)
        assert not counts.unread
        assert 'prompt="long",service="llm"' in gateway._metrics.render()


@pytest.mark.parametrize(
    "behaviour",
    [Behaviour.REJECT, Behaviour.FAIL, Behaviour.TRUNCATE, Behaviour.UNFRAMED_EMPTY],
)
async def test_prompt_is_given_back_when_attempts_fail_and_are_retried(behaviour):
    async with running_site() as site:
        counts = await use_engine_figures(site)
        script_engines(site, "llm", behaviour)
        await site.post(site.gateways[0][1], "/stream/a", X_Token_Usage="2000,161")
        scripts = [engine.script for engine in site.engines.values()]
        await site.wait_until(lambda: not counts.own_context)
        assert not any(scripts)
        assert not (counts.unread or counts.own_unread)


async def test_route_timeout_ends_request_with_final_response():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.SILENT)
        config = configuration(2)
        config["routes"][2]["timeout_ms"] = 200
        site.publish(config)
        await site.notify_watches()
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        response = await site.post(site.gateways[0][1], "/order/a", deadline=5000)
        assert response.status == 504
        assert loop.time() - started_at < 0.7


async def test_traffic_split_sends_to_both_services():
    async with running_site() as site:
        await site.add_engine("other", "i-other-app")
        config = configuration(2)
        split = [{"service": "app", "weight": 50}, {"service": "other", "weight": 50}]
        config["routes"][3].pop("service")
        config["routes"][3]["traffic_split"] = split
        config["services"].append({"name": "other", "max_connections": 10})
        site.publish(config)
        await site.notify_watches()
        node = site.gateways[0][1]
        await asyncio.sleep(1.0)
        for _ in range(30):
            assert (await site.get(node, "/lookup/a")).status == 200
        other = len(site.engines["i-other-app"].state.executed)
        assert 3 < other < 27


async def test_directory_lists_all_gateways():
    async with running_site(gateways=2) as site:
        node = site.gateways[0][1]
        expected = {settings.callers for _, settings, _ in site.gateways}
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"

        async def lists_both():
            response = await send_request(node.directory, "GET", path, {"Host": "d"})
            return set(json.loads(response.body)["addresses"]) == expected

        await site.wait_until(lists_both)


async def test_engine_of_broken_group_gets_no_requests_after_first_rejection():
    async with running_site(engines=2) as site:
        broken_engine = site.engines["i-llm-0"]
        broken_engine.script.extend([Behaviour.BROKEN_GROUP] * 20)
        node = site.gateways[0][1]
        responses = [await site.post(node, "/stream/a") for _ in range(6)]
        assert all(response.is_complete for response in responses)
        assert len(broken_engine.state.received) <= 1


def engine_with_stream(site):
    return next(engine for id_, engine in site.engines.items() if "llm" in id_)


async def test_engine_that_states_that_it_leaves_gets_no_further_requests():
    async with running_site(gateways=2) as site:
        first, second = (settings for _, settings, _ in site.gateways)
        leaving = site.engines["i-app-0"]
        leaving.is_leaving = True
        while not leaving.state.received:
            assert (await site.get(first, "/lookup/a")).status == 200
        received = len(leaving.state.received)
        for _ in range(6):
            assert (await site.get(first, "/lookup/a")).status == 200
        # Peers are told at once, although the store still lists the engine as ready.
        await asyncio.sleep(0.2)
        for _ in range(6):
            assert (await site.get(second, "/lookup/a")).status == 200
        assert len(leaving.state.received) == received


async def test_no_gateway_sends_to_an_engine_again_whose_address_is_another_ones():
    async with running_site(gateways=2) as site:
        first, second = (settings for _, settings, _ in site.gateways)
        gone = site.engines["i-app-0"]
        gone.script.extend([Behaviour.MISDIRECT] * 20)
        while not gone.state.received:
            assert (await site.get(first, "/lookup/a")).status == 200
        await asyncio.sleep(0.2)
        for _ in range(6):
            assert (await site.get(first, "/lookup/a")).status == 200
            assert (await site.get(second, "/lookup/a")).status == 200
        assert len(gone.state.received) == 1


async def test_repeats_after_misdirected_requests_draw_on_the_retry_budget():
    async with running_site() as site:
        settings = site.gateways[0][1]
        settings.bounds = replace(settings.bounds, retry_ratio=0.0, retry_slack=0.0)
        site.engines["i-app-0"].script.extend([Behaviour.MISDIRECT] * 20)
        responses = [await site.get(settings, "/lookup/a") for _ in range(6)]
        arrivals = sum(len(each.state.received) for each in site.engines.values())
        assert arrivals == len(responses)


async def test_engine_that_asks_for_a_pause_gets_nothing_until_it_ends():
    async with running_site() as site:
        node = site.gateways[0][1]
        pausing = site.engines["i-app-0"]
        pausing.retry_after = "0.8"
        pausing.script.append(Behaviour.REJECT)
        while not pausing.state.received:
            assert (await site.get(node, "/lookup/a")).status == 200
        asked_at = asyncio.get_running_loop().time()
        for _ in range(8):
            assert (await site.get(node, "/lookup/a")).status == 200
        assert asyncio.get_running_loop().time() < asked_at + 0.7
        assert len(pausing.state.received) == 1
        await asyncio.sleep(0.9)
        for _ in requests_until(lambda: len(pausing.state.received) > 1):
            await site.get(node, "/lookup/a")
        assert len(pausing.state.received) > 1


async def test_caller_is_rejected_at_once_with_the_time_until_an_engine_is_back():
    async with running_site() as site:
        node = site.gateways[0][1]
        for id_, pause in (("i-app-0", "5"), ("i-app-1", "3.5")):
            site.engines[id_].retry_after = pause
            site.engines[id_].script.append(Behaviour.REJECT)
        first = await site.get(node, "/lookup/a")
        assert first.status == 503
        started_at = asyncio.get_running_loop().time()
        second = await site.post(node, "/order/a")
        assert asyncio.get_running_loop().time() < started_at + 0.1
        assert second.status == 503
        assert 3.2 < float(second.headers["retry-after"]) <= 3.5
        assert sum(len(e.state.received) for e in site.engines.values()) == 2


@pytest.mark.parametrize("nonsense", ["", "-3", "soon", "nan", "1e999x"])
async def test_nonsense_as_retry_after_of_an_engine_is_ignored(nonsense):
    async with running_site(engines=1) as site:
        engine = site.engines["i-app-0"]
        engine.retry_after = nonsense
        engine.script.append(Behaviour.REJECT)
        node = site.gateways[0][1]
        assert (await site.get(node, "/lookup/a")).status == 503
        assert (await site.get(node, "/lookup/a")).status == 200


@pytest.mark.parametrize("behaviour", [Behaviour.ENDLESS_HEAD, Behaviour.ENDLESS_BODY])
async def test_response_without_end_is_given_up_with_bounded_memory(behaviour):
    async with running_site() as site:
        node = site.gateways[0][1]
        script_engines(site, "app", behaviour)
        memory = peak_memory()
        response = await site.post(node, "/order/a")
        assert response.status == 502
        assert peak_memory() < memory + 100 * MEBIBYTE
        assert len(executed_requests(site)) == 1
        await site.wait_until(lambda: sum_of_disconnects(site) == 1)
        assert (await site.get(node, "/lookup/a")).status == 200


async def test_many_responses_without_end_share_one_bound_of_memory():
    callers = 200
    async with running_site() as site:
        node = site.gateways[0][1]
        script_engines(site, "app", *[Behaviour.ENDLESS_BODY] * callers)
        memory = peak_memory()
        responses = await asyncio.gather(
            *(site.get(node, "/lookup/a") for _ in range(callers))
        )
        assert {response.status for response in responses} <= {502, 503, 504}
        # The engines run in this process, too, and buffer what was not yet read.
        assert peak_memory() < memory + 150 * MEBIBYTE


async def test_rejection_without_end_is_taken_at_its_word():
    async with running_site() as site:
        script_engines(site, "app", Behaviour.ENDLESS_REJECTION)
        response = await site.post(site.gateways[0][1], "/order/a")
        assert response.status == 503
        assert executed_requests(site) == []
        await site.wait_until(lambda: sum_of_disconnects(site) >= 1)


@pytest.mark.parametrize("behaviour", [Behaviour.ENDLESS_EVENT, Behaviour.COMMENTS])
async def test_stream_that_only_sends_bytes_now_and_then_is_resumed_elsewhere(
    behaviour,
):
    async with running_site() as site:
        node = site.gateways[0][1]
        stalled = engine_with_stream(site)
        while not stalled.state.disconnected:
            stalled.script.append(behaviour)
            response = await site.post(node, "/stream/a", deadline=5000)
            stalled.script.clear()
        assert response.is_complete
        events = [e for e in response.body.split(b"\n\n") if e.startswith(b"id")]
        assert b"\n\n".join(events) + b"\n\n" == COMPLETE_STREAM


async def test_slow_but_sound_stream_is_not_cut():
    async with running_site() as site:
        stream = route("stream", "streaming", "llm", resumable=True, timeout_ms=6000)
        site.publish(configuration(2, routes=[{**stream, "target_gap_ms": 120}]))
        await site.notify_watches()
        for engine in site.engines.values():
            engine.event_interval = 0.7
        await asyncio.sleep(0.2)
        response = await site.post(
            site.gateways[0][1], "/stream/a", deadline=8000, request_id="00bb"
        )
        assert response.is_complete
        assert response.body == COMPLETE_STREAM
        assert len(executed_requests(site)) == 1


async def test_stream_at_a_slow_engine_is_not_given_up_while_no_other_may_get_it():
    """In overload, streams that were cut for silence found no room and ended as 502."""
    async with running_site() as site:
        settings = site.gateways[0][1]
        settings.bounds = replace(settings.bounds, retry_ratio=0.0, retry_slack=0.0)
        stream = route("stream", "streaming", "llm", resumable=True, timeout_ms=6000)
        site.publish(configuration(2, routes=[{**stream, "target_gap_ms": 120}]))
        await site.notify_watches()
        for engine in site.engines.values():
            engine.event_interval = 1.5
        await asyncio.sleep(0.2)
        response = asyncio.create_task(site.post(settings, "/stream/a", deadline=8000))
        await asyncio.sleep(0.5)
        for engine in site.engines.values():
            engine.event_interval = 0.01
        assert (await response).body == COMPLETE_STREAM
        assert len(executed_requests(site)) == 1


async def test_stream_that_ends_with_its_connection_is_complete():
    async with running_site() as site:
        script_engines(site, "llm", Behaviour.UNFRAMED)
        response = await site.post(site.gateways[0][1], "/stream/a")
        assert response.is_complete
        assert response.body == COMPLETE_STREAM


@pytest.mark.parametrize(
    "behaviour", [Behaviour.UNFRAMED_PARTIAL, Behaviour.UNFRAMED_EMPTY]
)
async def test_unframed_stream_that_breaks_off_is_resumed_elsewhere(behaviour):
    async with running_site() as site:
        first, second = (e for i, e in site.engines.items() if "llm" in i)
        first.script.append(behaviour)
        responses = []
        while first.script:
            responses.append(await site.post(site.gateways[0][1], "/stream/a"))
        assert all(response.is_complete for response in responses)
        assert all(response.body == COMPLETE_STREAM for response in responses)


@pytest.mark.parametrize(
    "behaviour", [Behaviour.UNFRAMED_PARTIAL, Behaviour.UNFRAMED_EMPTY]
)
async def test_unframed_stream_that_breaks_off_never_looks_complete(behaviour):
    async with running_site() as site:
        script_engines(site, "llm", behaviour)
        response = await site.post(site.gateways[0][1], "/single/a")
        assert response.status == 502 or not response.is_complete
