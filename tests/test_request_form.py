"""The one form into which a request is brought before anything is compared."""

import pytest

from site_fixture import (
    HOST,
    caller_headers,
    configuration,
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
