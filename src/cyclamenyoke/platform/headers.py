"""Header names of the platform, and the selection of headers to forward."""

from collections.abc import Iterable

from cyclamenyoke.core.inbound_request import Header

REQUEST_ID = b"x-request-id"
DEADLINE = b"X-Deadline-Ms"
# Request: id of the engine that is to execute it.
TARGET_ENGINE = b"X-Target-Instance"
# Response: id of the engine that sent it.
RESPONDING_ENGINE = b"x-instance-id"
TENANT = b"X-Tenant"
PRIORITY = b"X-Request-Priority"
# Response: present, with any value, if the engine did not execute the request.
NOT_EXECUTED = b"x-not-executed"
# Response: id of the engine that caused a rejection; may be another rank of the group.
FAULTY_ENGINE = b"at-server"
SIGNATURE = b"x-response-signature"
LAST_EVENT_ID = b"Last-Event-Id"
# Request: ``PROMPT_TOKENS,MAX_OUTPUT_TOKENS``.
TOKEN_COUNTS = b"x-token-usage"
# Request: parts of the prompt in order, as comma-separated ``ID:TOKENS``.
PROMPT_PARTS = b"x-prompt-prefix"
RETRY_AFTER = b"Retry-After"
# Response: "1" if the engine is leaving and takes no new requests.
LEAVING = b"server-leaving"
# Response: requests a second that the engine takes from all gateways together.
RATE_LIMIT = b"server-limit"
# Response of the store: how often it was restored from an older copy.
STORE_ERA = b"store-era"
CONTENT_ENCODING = b"content-encoding"
KEEP_ALIVE = b"keep-alive"
AUTHORIZATION = b"authorization"
# The proxies that a request has passed (RFC 9110, section 7.6.3).
VIA = b"Via"

GATEWAY_PSEUDONYM = b"cyclamenyoke"
"""The name of all gateways in ``Via``."""

GATEWAY_VIA = b"1.1 " + GATEWAY_PSEUDONYM
"""The entry in ``Via`` of requests that a gateway sends."""

# Content type of a stream of server-sent events.
EVENT_STREAM_TYPE = b"text/event-stream"

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

FOR_ALL_RECIPIENTS = frozenset({b"host", REQUEST_ID})
"""Headers without which an engine refuses a request; no ``Connection`` option removes
them."""

RESERVED_FOR_GATEWAY = frozenset(
    name.lower() for name in (DEADLINE, TARGET_ENGINE, TENANT, PRIORITY, LAST_EVENT_ID)
)
"""Request headers of a caller that are not forwarded to engines: the gateway sets its
own value or omits them."""


def select_end_to_end(
    headers: Iterable[Header], also_dropped: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the headers to forward, without hop-by-hop headers.

    :param also_dropped: lower-case names of further headers to drop.
    """
    headers = list(headers)
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for name in value.split(b",")
    }
    dropped = HOP_BY_HOP | also_dropped | (connection_options - FOR_ALL_RECIPIENTS)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def came_through_gateway(headers: Iterable[Header]) -> bool:
    """Return whether a request was sent by a gateway, according to its ``Via``.

    >>> came_through_gateway([(b"Via", b"1.0 proxy, 1.1 cyclamenyoke")])
    True
    >>> came_through_gateway([(b"Via", b"1.0 proxy (cyclamenyoke)")])
    False
    """
    entries = (
        entry.split()
        for name, value in headers
        if name.lower() == VIA.lower()
        for entry in value.split(b",")
    )
    return any(
        len(entry) > 1 and entry[1].lower() == GATEWAY_PSEUDONYM for entry in entries
    )
