"""A request's whole path over the platform's protocol, with engines' faults."""

import asyncio
import json

import pytest

from cyclamenyoke.standins.engine import STREAM_EVENTS, Behaviour
from site_fixture import (
    HOST,
    KEY,
    call,
    caller_headers,
    configuration,
    connect,
    encode,
    read_answer,
    route,
    running_site,
)

WHOLE_STREAM = b"".join(
    b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, STREAM_EVENTS + 1)
)


def all_run(site):
    return [each for engine in site.engines.values() for each in engine.state.executed]


def script(site, service, *behaviours):
    """Let all engines of a service behave alike."""
    for id_, engine in site.engines.items():
        if service in id_:
            engine.script.extend(behaviours)


async def test_plain_answer_is_passed_on_whole_with_the_engines_signature():
    async with running_site() as site:
        node = site.gateways[0][1]
        answer = await site.ask(node, "/lookup/a?b=c", request_id="00aa")
        assert answer.status == 200
        assert answer.body == b"answer to 00aa"
        assert answer.headers["x-response-signature"].startswith("signed-by-i-app")
        [request] = all_run(site)
        assert request.target == "/lookup/a?b=c"
        assert request.headers["x-tenant"] == "customer"
        assert "authorization" not in request.headers
        assert request.headers["x-target-instance"].startswith("i-app")
        assert 0 < int(request.headers["x-deadline-ms"]) <= 1500


async def test_headers_that_the_system_sets_are_not_taken_from_the_caller():
    async with running_site() as site:
        node = site.gateways[0][1]
        forged = {"X_Tenant": "other", "X_Target_Instance": "i-x", "X_Note": "kept"}
        await site.ask(node, "/lookup/a", **forged)
        [request] = all_run(site)
        assert request.headers["x-tenant"] == "customer"
        assert request.headers["x-target-instance"] != "i-x"
        assert request.headers["x-note"] == "kept"


async def test_body_in_chunks_reaches_the_engine_unchanged():
    async with running_site() as site:
        node = site.gateways[0][1]
        reader, writer = await connect(node.callers)
        head = encode("PUT", "/order/a", caller_headers())[:-2]
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
        answer = await read_answer(reader)
        writer.close()
        assert answer.status == 200
        [request] = all_run(site)
        assert request.body == b"abcdefg"


async def test_stream_is_passed_on_event_by_event():
    async with running_site() as site:
        answer = await site.post(site.gateways[0][1], "/stream/a")
        assert answer.is_whole
        assert answer.body == WHOLE_STREAM


async def test_broken_stream_is_resumed_at_another_engine_in_the_same_answer():
    async with running_site() as site:
        script(site, "llm", Behaviour.TRUNCATE)
        for engine in site.engines.values():
            engine.keep_alive = None
        answer = await site.post(site.gateways[0][1], "/stream/a")
        runs = all_run(site)
        assert len(runs) == 2
        assert runs[0].headers.get("last-event-id") is None or (
            runs[1].headers.get("last-event-id") is None
        )
        # The second engine breaks off, too; what the caller has is not ended.
        assert answer.body == WHOLE_STREAM[: len(answer.body)]
        assert answer.is_whole == (answer.body == WHOLE_STREAM)


async def test_resumed_stream_is_whole_with_the_first_signature():
    async with running_site() as site:
        first, second = (e for i, e in site.engines.items() if "llm" in i)
        first.script.append(Behaviour.TRUNCATE)
        answers = [await site.post(site.gateways[0][1], "/stream/a") for _ in range(4)]
        assert all(answer.is_whole for answer in answers)
        assert all(answer.body == WHOLE_STREAM for answer in answers)
        resumed = [
            each for each in second.state.executed if "last-event-id" in each.headers
        ]
        assert len(resumed) <= 1


async def test_stream_that_may_not_be_resumed_is_cut_and_not_ended():
    async with running_site() as site:
        script(site, "llm", Behaviour.TRUNCATE)
        answer = await site.post(site.gateways[0][1], "/single/a")
        assert len(all_run(site)) == 1
        assert not answer.is_whole
        assert answer.body == WHOLE_STREAM[: len(answer.body)]


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
async def test_order_whose_answer_is_spoiled_runs_once_and_is_not_called_unrun(
    behaviour,
):
    async with running_site() as site:
        script(site, "app", behaviour)
        answer = await site.post(site.gateways[0][1], "/order/a")
        assert answer.status == 502
        assert len(all_run(site)) == 1


async def test_order_of_a_silent_engine_times_out_and_is_not_called_unrun():
    async with running_site() as site:
        script(site, "app", Behaviour.SILENT)
        answer = await site.post(site.gateways[0][1], "/order/a", deadline=300)
        assert answer.status == 504
        assert len(all_run(site)) == 1


async def test_rejected_order_is_refused_as_not_run_with_a_time_to_return():
    async with running_site() as site:
        script(site, "app", Behaviour.REJECT)
        answer = await site.post(site.gateways[0][1], "/order/a")
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) < 1
        assert all_run(site) == []


async def test_rejected_lookup_goes_to_another_engine():
    async with running_site() as site:
        first = next(e for i, e in site.engines.items() if "app" in i)
        first.script.extend([Behaviour.REJECT] * 4)
        node = site.gateways[0][1]
        answers = [await site.ask(node, "/lookup/a") for _ in range(4)]
        assert {answer.status for answer in answers} == {200}


async def test_misdirected_order_has_not_run_and_is_refused_so():
    async with running_site() as site:
        script(site, "app", Behaviour.MISDIRECT)
        answer = await site.post(site.gateways[0][1], "/order/a")
        assert answer.status == 503
        assert all_run(site) == []


async def test_engines_failure_is_passed_on_unchanged():
    async with running_site() as site:
        script(site, "app", Behaviour.FAIL, Behaviour.FAIL)
        answer = await site.post(site.gateways[0][1], "/order/a")
        assert answer.status == 500
        assert answer.body == b"failed"
        assert "x-response-signature" in answer.headers


@pytest.mark.parametrize("behaviour", [Behaviour.EXTRA, Behaviour.WRONG_ID])
async def test_surplus_answers_reach_nobody(behaviour):
    async with running_site(engines=1) as site:
        node = site.gateways[0][1]
        site.engines["i-app-0"].script.append(behaviour)
        for number in range(5):
            request_id = f"{number:04x}"
            answer = await site.ask(node, "/lookup/a", request_id=request_id)
            assert answer.status == 200
            assert answer.body == f"answer to {request_id}".encode()


async def test_unframed_answer_that_ends_with_its_connection_is_whole():
    async with running_site() as site:
        script(site, "app", Behaviour.UNFRAMED)
        answer = await site.post(site.gateways[0][1], "/order/a", request_id="0b")
        assert answer.status == 200
        assert answer.body == b"answer to 0b"


async def test_connections_to_engines_are_kept_and_used_again():
    async with running_site(engines=1) as site:
        node = site.gateways[0][1]
        for _ in range(5):
            await site.ask(node, "/lookup/a")
        assert site.engines["i-app-0"].state.connections == 1


async def test_connection_that_an_engine_closed_is_not_used_again():
    async with running_site(engines=1) as site:
        node = site.gateways[0][1]
        await site.post(node, "/order/a")
        site.engines["i-app-0"].close_idle()
        await asyncio.sleep(0.05)
        answer = await site.post(node, "/order/a")
        assert answer.status == 200


async def test_unknown_key_route_and_missing_id_are_told_apart():
    async with running_site() as site:
        node = site.gateways[0][1]
        assert (await site.ask(node, "/lookup/a", key="unknown")).status == 401
        assert (await site.ask(node, "/lookup/a", key=None)).status == 401
        assert (await site.ask(node, "/nowhere/a")).status == 404
        answer = await call(node.callers, "GET", "/lookup/a", {"Host": HOST})
        assert answer.status == 400
        assert all_run(site) == []


async def test_public_route_needs_no_key_and_longest_prefix_wins():
    async with running_site() as site:
        node = site.gateways[0][1]
        config = configuration(2)
        deep = route("lookup", "safe", "app", public=True, prefix="/lookup/deep/")
        config["routes"].append(deep)
        site.publish(config)
        await site.notify()
        await asyncio.sleep(0.1)
        assert (await site.ask(node, "/lookup/deep/a", key=None)).status == 200
        assert (await site.ask(node, "/lookup/a", key=None)).status == 401


@pytest.mark.parametrize(
    "data, status",
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
async def test_malformed_requests_are_refused_and_the_connection_closed(data, status):
    config = configuration(2)
    config["limits"]["idle_timeout_ms"] = 600
    async with running_site() as site:
        site.publish(config)
        await site.notify()
        await asyncio.sleep(0.1)
        reader, writer = await connect(site.gateways[0][1].callers)
        writer.write(data)
        async with asyncio.timeout(3):
            answer = await read_answer(reader)
            assert answer.status == status
            assert await reader.read() == b""
        writer.close()
        assert all_run(site) == []


async def test_idle_connections_are_closed_after_the_limit():
    config = configuration(2)
    config["limits"]["idle_timeout_ms"] = 300
    async with running_site() as site:
        site.publish(config)
        await site.notify()
        await asyncio.sleep(0.1)
        reader, writer = await connect(site.gateways[0][1].callers)
        writer.write(encode("GET", "/lookup/a", caller_headers()))
        assert (await read_answer(reader)).status == 200
        async with asyncio.timeout(2):
            assert await reader.read() == b""
        writer.close()


async def test_caller_that_leaves_frees_the_engine_within_half_a_second():
    async with running_site() as site:
        for engine in site.engines.values():
            engine.event_interval = 0.2
        host, _, port = site.gateways[0][1].callers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode("POST", "/stream/a", caller_headers(), b"{}"))
        await asyncio.sleep(0.3)
        writer.close()
        engines = [e for i, e in site.engines.items() if "llm" in i]
        await site.until(lambda: sum(e.state.disconnected for e in engines) == 1, 0.5)
        assert len(all_run(site)) == 1


async def test_route_timeout_ends_a_request_with_a_final_answer():
    async with running_site() as site:
        script(site, "app", Behaviour.SILENT)
        config = configuration(2)
        config["routes"][2]["timeout_ms"] = 200
        site.publish(config)
        await site.notify()
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        answer = await site.post(site.gateways[0][1], "/order/a", deadline=5000)
        assert answer.status == 504
        assert loop.time() - begun < 0.7


async def test_split_route_sends_to_both_services():
    async with running_site() as site:
        await site.add_engine("other", "i-other-app")
        config = configuration(2)
        split = [{"service": "app", "weight": 50}, {"service": "other", "weight": 50}]
        config["routes"][3].pop("service")
        config["routes"][3]["traffic_split"] = split
        config["services"].append({"name": "other", "max_connections": 10})
        site.publish(config)
        await site.notify()
        node = site.gateways[0][1]
        await asyncio.sleep(1.0)
        for _ in range(30):
            assert (await site.ask(node, "/lookup/a")).status == 200
        other = len(site.engines["i-other-app"].state.executed)
        assert 3 < other < 27


async def test_directory_names_the_gateways():
    async with running_site(gateways=2) as site:
        node = site.gateways[0][1]
        expected = {settings.callers for _, settings, _ in site.gateways}
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"

        async def names_both():
            answer = await call(node.directory, "GET", path, {"Host": "d"})
            return set(json.loads(answer.body)["addresses"]) == expected

        await site.until(names_both)
        assert KEY


async def test_engine_of_a_broken_group_is_spared_after_its_first_word():
    async with running_site(engines=2) as site:
        broken = site.engines["i-llm-0"]
        broken.script.extend([Behaviour.BROKEN_GROUP] * 20)
        node = site.gateways[0][1]
        answers = [await site.post(node, "/stream/a") for _ in range(6)]
        assert all(answer.is_whole for answer in answers)
        assert len(broken.state.received) <= 1
