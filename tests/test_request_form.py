"""The one form into which a request is brought before anything is compared."""

import asyncio
import tracemalloc

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.http_ingress import IngressConnection, IngressServer
from cyclamenyoke.core.units import MEBIBYTE
from site_fixture import (
    API_KEY,
    HOST,
    caller_headers,
    configuration,
    connect,
    encode_request,
    read_response,
    route,
    running_site,
    send_request,
)


def executed_requests(site):
    return [each for engine in site.engines.values() for each in engine.state.executed]


# Guards against 400 for a proxy's form of the target, and against a route by its Host.
@pytest.mark.parametrize(
    "authority", [HOST, f"{HOST}:80", f"{HOST}:", f"{HOST}.", HOST.upper()]
)
async def test_host_of_an_absolute_target_wins_and_the_engine_gets_the_path(authority):
    async with running_site() as site:
        node, path = site.gateways[0][1], "/lookup/%2e/../a?b=http://c/d"
        headers = caller_headers() | {"Host": "other.example"}
        target = f"http://{authority}{path}"
        response = await send_request(node.callers, "GET", target, headers)
        assert response.status == 200
        [request] = executed_requests(site)
        assert (request.target, request.headers["host"]) == (path, authority)


async def test_absolute_target_of_an_unknown_host_has_no_route():
    async with running_site() as site:
        target = "http://other.example/lookup/a"
        response = await site.get(site.gateways[0][1], target)
        assert response.status == 404


# Guards against a host that a reader takes for the user's name.
@pytest.mark.parametrize("authority", [f"user@{HOST}", f"{HOST}@other", "", f"{HOST}#"])
async def test_target_with_user_information_or_without_a_host_is_refused(authority):
    async with running_site() as site:
        target = f"http://{authority}/lookup/a"
        response = await site.get(site.gateways[0][1], target)
        assert response.status == 400
        assert executed_requests(site) == []


@pytest.mark.parametrize("end", ["", "?", "?b=/c"])
async def test_absolute_target_without_a_path_means_the_root(end):
    async with running_site(gateways=0, config=False) as site:
        root = route("root", "safe", "app", prefix="/")
        site.publish(configuration(1, routes=[root]))
        node = await site.add_gateway()
        response = await site.get(node, f"http://{HOST}{end}")
        assert response.status == 200
        assert [each.target for each in executed_requests(site)] == ["/" + end]


async def test_directory_and_readiness_serve_targets_in_absolute_form():
    async with running_site() as site:
        node = site.gateways[0][1]
        for address, path in (
            (node.directory, f"/v1/resolve?name={HOST}&zone=dc-1"),
            (node.readiness, "/v1/readiness?a"),
            (f"{node.ip}:{node.metrics_port}", "/quarantine"),
        ):
            target = f"http://{address}{path}"
            response = await send_request(address, "GET", target, {"Host": address})
            assert response.status == 200, path
            # The operators' address answers any other path with the metrics.
            assert b"cyclamenyoke_" not in response.body


# Guards against 404 since the operator and the caller write one host in two ways.
@pytest.mark.parametrize("stated", [HOST, f"{HOST}.", f"{HOST}.:8227", f"{HOST}:"])
@pytest.mark.parametrize("configured", [HOST, f"{HOST.title()}."])
async def test_host_is_found_with_and_without_its_final_dot(configured, stated):
    async with running_site(gateways=0, config=False) as site:
        lookup = route("lookup", "safe", "app", host=configured)
        site.publish(configuration(1, routes=[lookup]))
        node = await site.add_gateway()
        assert (await site.get(node, "/lookup/a", Host=stated)).status == 200


# Guards against 400, 401 and 404 for white space that is no part of a value.
@pytest.mark.parametrize("before", ["", " ", "\t", " \t "])
@pytest.mark.parametrize("after", [" ", "\t", "\t \t ", " \t"])
async def test_white_space_around_each_value_is_left_out(before, after):
    async with running_site() as site:
        node = site.gateways[0][1]
        fields = caller_headers(
            "00aa", Last_Event_Id="7", X_Token_Usage="5,6", X_A="b c"
        )
        headers = {name: before + each + after for name, each in fields.items()}
        response = await send_request(node.callers, "GET", "/lookup/a", headers)
        assert response.status == 200
        [request] = executed_requests(site)
        assert request.headers["x-request-id"] == "00aa"
        assert request.headers["host"] == HOST
        assert request.headers["last-event-id"] == "7"
        assert request.headers["x-a"] == "b c"
        assert 0 < int(request.headers["x-deadline-ms"]) <= 1500


@pytest.mark.parametrize("space", [" ", "   ", "\t", " \t "])
async def test_key_is_read_after_any_white_space(space):
    async with running_site() as site:
        key = f"bearer{space}{API_KEY}"
        response = await site.get(
            site.gateways[0][1], "/lookup/a", key=None, Authorization=key
        )
        assert response.status == 200


# Guards against a body that is delimited otherwise since a segment ends at a tab.
@pytest.mark.parametrize("value", [b"chunked\t", b"\tchunked \t \t"])
async def test_tab_after_chunked_delimits_the_body_wherever_a_segment_ends(value):
    body = b"a\t\r\nb: chunked \t\r\n\r\n"
    async with running_site() as site:
        head = encode_request("PUT", "/lookup/a", caller_headers())[:-2]
        first = head + b"Transfer-Encoding: " + value + b"\r\n\r\n"
        first += b"%x\r\n%b\r\n0\r\nX-Trailer: t\t\r\n\r\n" % (len(body), body)
        second = encode_request("GET", "/lookup/b", caller_headers(X_A="\t"))
        data = first + second
        start = data.index(b"Authorization")
        for cut in range(start, len(data)):
            reader, writer = await connect(site.gateways[0][1].callers)
            writer.write(data[:cut])
            await asyncio.sleep(0.001)
            writer.write(data[cut:])
            async with asyncio.timeout(5):
                statuses = [(await read_response(reader)).status for _ in range(2)]
            writer.close()
            assert statuses == [200, 200], cut
        requests = executed_requests(site)
        assert len(requests) == 2 * (len(data) - start)
        assert {each.body for each in requests} == {body, b""}


# Guards against values without end that are held back until a line is complete.
async def test_tabs_without_end_are_refused_as_too_large():
    async with running_site() as site:
        reader, writer = await connect(site.gateways[0][1].callers)
        writer.write(
            encode_request("GET", "/lookup/a", caller_headers())[:-2] + b"X-A: b"
        )
        for _ in range(10):
            writer.write(b"\t" * 1000)
            await asyncio.sleep(0.001)
        async with asyncio.timeout(3):
            assert (await read_response(reader)).status == 431
        writer.close()
        assert executed_requests(site) == []


# Guards against 400 for headers that the request doesn't need.
@pytest.mark.parametrize("name", ["X-Deadline-Ms", "X-Token-Usage", "Last-Event-Id"])
@pytest.mark.parametrize("value", ["", "soon", "nan", "inf", "1-0,1-0", "9" * 400])
async def test_unreadable_header_counts_as_not_stated(name, value):
    async with running_site() as site:
        headers = caller_headers() | {name: value}
        address = site.gateways[0][1].callers
        response = await send_request(address, "GET", "/lookup/a", headers)
        assert response.status == 200
        [request] = executed_requests(site)
        assert "last-event-id" not in request.headers
        is_logged = bool(value) and not (name == "X-Deadline-Ms" and value[0] == "9")
        counter = site.gateways[0][0]._metrics.counter
        assert counter("unreadable_headers", header=name.lower()) == is_logged


@pytest.mark.parametrize("value", ["1500.5", "1500.", "+1500", "001500"])
async def test_deadline_is_read_as_a_decimal_number(value):
    async with running_site() as site:
        node = site.gateways[0][1]
        response = await site.get(node, "/lookup/a", X_Deadline_Ms=value)
        assert response.status == 200
        [request] = executed_requests(site)
        assert 1000 < int(request.headers["x-deadline-ms"]) <= 1500


@pytest.mark.parametrize("value", ["0", "-1", "-1500.5"])
async def test_deadline_that_has_passed_is_not_sent_to_an_engine(value):
    async with running_site() as site:
        node = site.gateways[0][1]
        response = await site.get(node, "/lookup/a", X_Deadline_Ms=value)
        assert response.status >= 500
        assert executed_requests(site) == []


# Guards against engines that refuse a request since its id or host was dropped.
@pytest.mark.parametrize(
    "options", ["X-Request-Id", "host , X-HOP\t", "Keep-Alive, HOST"]
)
async def test_connection_options_do_not_remove_id_or_host(options):
    async with running_site() as site:
        headers = caller_headers("00aa", Connection=options, X_Hop="1")
        address = site.gateways[0][1].callers
        response = await send_request(address, "GET", "/lookup/a", headers)
        assert response.status == 200
        [request] = executed_requests(site)
        assert request.headers["x-request-id"] == "00aa"
        assert request.headers["host"] == HOST
        assert ("x-hop" in request.headers) == ("X-HOP" not in options)


async def test_body_of_lines_that_end_with_tabs_takes_little_memory():
    async def handler(request, responder):
        return None

    server = IngressServer(handler, BootClock(), print, print)
    connection = IngressConnection(server)
    body = b"\t\r\n" * (MEBIBYTE // 3)
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (
        len(body) + 1
    )
    connection.data_received(head)
    tracemalloc.start()
    connection.data_received(body)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held < 3 * len(body)
