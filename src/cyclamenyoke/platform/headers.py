"""Header names of the platform, and the selection of headers to forward."""

from collections.abc import Iterable

from cyclamenyoke.core.inbound_request import Header

REQUEST_ID = b"x-request-id"
DEADLINE = b"X-Deadline-Ms"
TARGET_ENGINE = b"X-Target-Instance"
ENGINE_ID = b"x-instance-id"
TENANT = b"X-Tenant"
PRIORITY = b"X-Request-Priority"
NOT_EXECUTED = b"x-not-executed"
# The engine that caused a rejection, which may be another rank of the group.
FAULTY_ENGINE = b"at-server"
SIGNATURE = b"x-response-signature"
LAST_EVENT_ID = b"Last-Event-Id"
# Number of prompt tokens, then the limit of output tokens.
TOKEN_USAGE = b"x-token-usage"
RETRY_AFTER = b"Retry-After"
CONTENT_ENCODING = b"content-encoding"
KEEP_ALIVE = b"keep-alive"
AUTHORIZATION = b"authorization"
EVENT_STREAM = b"text/event-stream"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Headers that apply to one connection or are generated anew for each message."""

SET_BY_GATEWAY = frozenset(
    name.lower() for name in (DEADLINE, TARGET_ENGINE, TENANT, PRIORITY, LAST_EVENT_ID)
)
"""Request headers that the gateway sets itself; values from the caller are dropped."""


def end_to_end(
    headers: Iterable[Header], without: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the headers to forward, without hop-by-hop headers.

    :param without: lower-case names of further headers to drop.
    """
    headers = list(headers)
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    dropped = HOP_BY_HOP | without | connection_options
    return [(name, value) for name, value in headers if name.lower() not in dropped]
