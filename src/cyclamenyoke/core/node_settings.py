"""Settings of one gateway node, and the bounds that the operators set for it."""

from dataclasses import dataclass, fields

from cyclamenyoke.core.endpoint_registry import DEFAULT_REGISTRATION_LIFETIME

RELOADABLE = ("bounds", "seeds")
"""Settings that take effect while a gateway runs. The others, such as its addresses and
its location, are fixed for the life of the process."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the operators set. Times are in seconds.

    :param drain: time after which a draining endpoint gets no new work.
    :param grace: time between the request to stop and the kill.
    :param config_apply: time within which a configuration is in force on all nodes.
    :param retry_ratio: retries allowed for each request within ``retry_window``.
    :param retry_slack: further retries allowed within ``retry_window`` for all nodes
        together.
    :param retry_window: length of the sliding window of the retry budget.
    :param address_lifetime: longest time for which callers cache addresses.
    :param stall: time for which a group waits for a rank that is down or unreachable.
    :param evacuation: time after which endpoints of an evacuated data centre get no
        requests; ``None`` where data centres are not evacuated.
    :param cold_overage: multiple of a service's cold rate that a cold endpoint bears.
    :param cold_slack: requests that a cold endpoint bears in a second besides.
    """

    drain: float
    grace: float
    config_apply: float
    retry_ratio: float
    retry_slack: float
    retry_window: float
    address_lifetime: float
    stall: float
    evacuation: float | None = None
    cold_overage: float = 1.0
    cold_slack: float = 0.0


@dataclass(slots=True)
class NodeSettings:
    """Settings of one gateway process, shared by its components.

    :param callers: address that serves callers' requests; ``None`` for none.
    :param readiness: address of the readiness check; ``None`` for none.
    :param directory: address that lists the nodes that callers can use; ``None`` for
        none.
    :param peer_port: UDP port for updates between gateways; the same on all nodes.
    :param seeds: IP addresses of some other nodes, which may be down.
    :param store: address of the platform's key-value store.
    :param capacity: processor share times processor speed, for comparing nodes.
    :param registration_lifetime: seconds after which the store drops the entry of an
        endpoint that no longer renews it.
    """

    node: str
    ip: str
    data_centre: str
    region: str
    callers: str | None
    readiness: str | None
    directory: str | None
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    store: str
    capacity: float
    memory_bytes: int
    file_descriptors: int
    bounds: Bounds
    registration_lifetime: float = DEFAULT_REGISTRATION_LIFETIME

    def reload_from(self, reloaded: "NodeSettings") -> list[str]:
        """Apply the reloadable settings of a settings file that was read again.

        :returns: names of the other settings that differ; they take effect at the next
            start.
        """
        differing = [
            field.name
            for field in fields(self)
            if getattr(self, field.name) != getattr(reloaded, field.name)
        ]
        for name in RELOADABLE:
            setattr(self, name, getattr(reloaded, name))
        return [name for name in differing if name not in RELOADABLE]
