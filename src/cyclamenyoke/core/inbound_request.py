"""A caller's request to the gateway, and the reasons to reject it."""

import enum
from dataclasses import dataclass

Header = tuple[bytes, bytes]


class RejectionReason(enum.Enum):
    """Why a request is rejected without an endpoint's response.

    The members up to ``NOT_RUN`` guarantee that the request has not run and never will;
    with the others it may have run.
    """

    BAD_REQUEST = "bad_request"
    NO_KEY = "no_key"
    NO_ROUTE = "no_route"
    NO_CONFIG = "no_config"
    CONFIG_UNCONFIRMED = "config_unconfirmed"
    """The node can't know whether a newer configuration would allow the request."""
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    LOOP = "loop"
    """Another gateway, or this one, has sent the request to what it took for an
    endpoint."""
    NOT_RUN = "not_run"

    UNKNOWN = "unknown"
    TIMED_OUT = "timed_out"


@dataclass(slots=True)
class InboundRequest:
    """One request of a caller.

    :param path: the target without its query.
    :param headers: headers that are forwarded to the endpoint unchanged.
    :param deadline: when the caller stops waiting, by the node's clock; ``None`` if
        it stated no deadline.
    :param last_event_id: id of the event after which a stream resumes; ``None`` to
        start from the beginning.
    :param prompt_tokens: tokens of the prompt; 0 for a plain request.
    :param output_limit: maximum number of generated tokens; 0 for a plain request.
    :param shared_parts: ids of the prompt's parts that other requests may share, in the
        order of the prompt.
    :param last_part: id of the prompt's last part, which belongs to this request or to
        its session; empty for a plain request.
    :param is_from_gateway: whether a gateway sent it rather than a caller.
    """

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    headers: list[Header]
    body: bytes
    api_key: str | None
    arrived_at: float
    deadline: float | None
    last_event_id: int | None
    prompt_tokens: int
    output_limit: int
    shared_parts: tuple[str, ...] = ()
    last_part: str = ""
    is_from_gateway: bool = False
