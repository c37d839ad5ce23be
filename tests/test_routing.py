"""The choice of an agent for a call, and of the engines that an entry connects to."""

from collections import Counter
from random import Random

from cyclamenyoke.core.config import (
    Customer,
    Endpoint,
    EngineGroup,
    Service,
    ServiceKind,
)
from cyclamenyoke.core.messages import Call, Load
from cyclamenyoke.core.routing import (
    CIRCUIT_OPEN_DURATION,
    SUBSET_SIZE,
    Router,
    choose_subset,
)


def model_service(engines: int) -> Service:
    group = EngineGroup(
        "g", [Endpoint(f"e{n}", f"10.0.0.1:{n}", "dc") for n in range(engines)]
    )
    customers = [Customer("c", 1.0, "0" * 64)]
    return Service("s", ServiceKind.MODEL, customers, groups=[group])


def connected_router(agents: int) -> Router:
    router = Router("dc", Random(1))
    endpoints = [Endpoint(f"e{n}", "", "dc") for n in range(agents)]
    router.configure({"s": endpoints})
    for endpoint in endpoints:
        router.on_link_up(endpoint.name, "i", False, Load())
    return router


def call(body: bytes = b"", key: str = "") -> Call:
    return Call("r", "s", "c", "POST", "/", "", body, 9.0, 9.0, key=key)


def test_subsets_spread_entries_over_all_engines():
    service = model_service(75)
    links = Counter(
        endpoint.name
        for entry in range(380)
        for endpoint in choose_subset(service, f"entry-{entry}")
    )
    assert sum(links.values()) == 380 * SUBSET_SIZE
    assert len(links) == 75
    assert max(links.values()) < 2 * min(links.values())


def test_subset_moves_few_links_when_an_engine_is_removed():
    before = {e.name for e in choose_subset(model_service(75), "entry-1")}
    after = {e.name for e in choose_subset(model_service(74), "entry-1")}
    assert len(before - after) <= 1


def test_same_key_goes_to_the_same_agent_at_every_entry():
    routers = [connected_router(5) for _ in range(3)]
    chosen = {router.choose(call(key="k"), (), 0.0) for router in routers}
    assert len(chosen) == 1


def test_draining_and_disconnected_agents_are_not_chosen():
    router = connected_router(3)
    router.on_draining("e0")
    router.on_link_down("e1")
    assert {router.choose(call(bytes([n])), (), 0.0) for n in range(50)} == {"e2"}


def test_circuit_breaker_opens_after_failures_and_admits_a_trial_call():
    router = connected_router(1)
    for _ in range(3):
        router.on_failure("e0", 0.0)
    assert router.choose(call(), (), 1.0) is None
    assert router.choose(call(), (), CIRCUIT_OPEN_DURATION + 1.0) == "e0"
    router.on_failure("e0", CIRCUIT_OPEN_DURATION + 1.0)
    assert router.choose(call(), (), CIRCUIT_OPEN_DURATION + 2.0) is None


def test_prefix_moves_away_from_an_overloaded_engine():
    router = connected_router(4)
    home = router.choose(call(b"prefix"), (), 0.0)
    assert home is not None
    for _ in range(200):
        router.on_load_report(home, Load(calls=20))
    others = [router.choose(call(b"prefix"), (), 0.0) for _ in range(50)]
    assert others.count(home) < 10
