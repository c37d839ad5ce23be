"""Requests that a gateway sends and that reach another gateway, or the same one."""

import pytest

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.platform.headers import came_through_gateway
from site_fixture import (
    caller_headers,
    configuration,
    requests_until,
    route,
    running_site,
)

OWN = "1.1 cyclamenyoke"


@pytest.fixture
def refusals(monkeypatch) -> list[tuple[str, str]]:
    """Return the list to which ids and outcomes of refused requests are added."""
    collected: list[tuple[str, str]] = []

    def collect(self, message, **fields):
        if message == "request refused":
            collected.append((fields["request"], fields["outcome"]))

    monkeypatch.setattr(Log, "info", collect)
    return collected


def received(site) -> list[str]:
    """Return the ids of all requests that engines received."""
    return [
        request.headers["x-request-id"]
        for engine in site.engines.values()
        for request in engine.state.received
    ]


async def use_address_of_gateway(site, service: str, number: int) -> None:
    """Register an engine at a gateway's address, and wait until it may be chosen."""
    site.register("i-gone", service, site.gateways[number][1].callers)
    await site.notify_watches()
    gateway = site.gateways[0][0]
    sound = frozenset(engine.id for engine in site.engines_of(service))

    def is_available() -> bool:
        now = gateway._clock.now()
        return gateway._balancer.available_at(service, sound, now) is not None

    await site.wait_until(is_available)


# Guards against a gateway that judges another's request as a caller's.
@pytest.mark.parametrize("number", [0, 1])
@pytest.mark.parametrize("path", ["/lookup/a", "/order/a"])
async def test_request_at_an_address_that_a_gateway_has_is_served_elsewhere(
    path, number, refusals
):
    async with running_site(gateways=2, engines=1) as site:
        await use_address_of_gateway(site, "app", number)
        for sent in requests_until(lambda: refusals, 12):
            assert (await site.post(site.gateways[0][1], path)).status == 200
            assert len(received(site)) == sent
        assert {outcome for _, outcome in refusals} == {"loop"}


# Guards against a gateway that serves another's request as a caller's.
@pytest.mark.parametrize("number", [0, 1])
async def test_request_of_a_public_route_is_not_served_by_two_gateways(
    number, refusals
):
    async with running_site(gateways=2, engines=1) as site:
        routes = [route("open", "unsafe", "app", max_attempts=1, public=True)]
        site.publish(configuration(2, routes=routes))
        await use_address_of_gateway(site, "app", number)
        await site.wait_until(
            lambda: all(
                each[0]._forwarder._config().version == 2 for each in site.gateways
            )
        )
        for sent in requests_until(lambda: refusals, 12):
            response = await site.post(site.gateways[0][1], "/open/a", key=None)
            assert response.status == 200
            assert response.headers["x-response-signature"] == "signed-by-i-app-0"
            assert len(received(site)) == len(set(received(site))) == sent
        assert refusals and {outcome for _, outcome in refusals} == {"loop"}


# Guards against a loop that is refused with a status that denies, or without the id.
@pytest.mark.parametrize("key", [None, "unknown"])
@pytest.mark.parametrize("via", [OWN, "1.0 a.example, 1.1 Cyclamenyoke (x, y), 1.1 b"])
async def test_request_that_names_a_gateway_in_via_has_not_run(via, key, refusals):
    async with running_site(engines=1) as site:
        headers = caller_headers(key=key)
        options = {"request_id": headers["X-Request-Id"], "key": key, "Via": via}
        response = await site.post(site.gateways[0][1], "/order/a", **options)
        assert response.status == 421
        assert response.headers["x-request-id"] == headers["X-Request-Id"]
        assert refusals == [(headers["X-Request-Id"], "loop")]
        assert received(site) == []


# Guards against the loss of what other proxies have entered.
@pytest.mark.parametrize("via", [None, "1.0 a.example, 1.1 b (cyclamenyoke)"])
async def test_engine_gets_the_entries_of_all_proxies_in_order(via):
    async with running_site(engines=1) as site:
        options = {} if via is None else {"Via": via}
        response = await site.post(site.gateways[0][1], "/order/a", **options)
        assert response.status == 200
        [request] = site.engines_of("app")[0].state.received
        assert request.headers["via"] == (OWN if via is None else f"{via}, {OWN}")


# Guards against a proper request that is taken for a gateway's.
@pytest.mark.parametrize(
    "values",
    [
        [],
        [b""],
        [b",, ,"],
        [b"cyclamenyoke"],
        [b"1.1 cyclamenyoke.example"],
        [b"1.1 a (cyclamenyoke)"],
        [b"1.1 a (b, 1.1 cyclamenyoke)"],
        [b"1.1 a", b"HTTP/1.1 b:80"],
    ],
)
def test_other_proxies_are_not_taken_for_a_gateway(values):
    assert not came_through_gateway([(b"Via", value) for value in values])


@pytest.mark.parametrize(
    "values",
    [
        [b"1.1 cyclamenyoke"],
        [b"1.1\tcyclamenyoke"],
        [b"HTTP/1.1 CYCLAMENYOKE (x)"],
        [b"1.1 a", b"1.0 b,1.1 cyclamenyoke ,1.1 c"],
    ],
)
def test_gateway_is_found_in_any_form_of_via(values):
    assert came_through_gateway([(b"vIA", value) for value in values])
