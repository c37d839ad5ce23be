"""Client of the quarantine that each gateway shows on its metrics address."""

import httpx
import msgspec

from cyclamenyoke.adapters.head_check import MalformedHead, check_head
from cyclamenyoke.core.units import SECOND
from cyclamenyoke.daemon.quarantine_api import (
    QUARANTINE_PATH,
    LiftRequest,
    QuarantinedPrompt,
)
from cyclamenyoke.exceptions import CyclamenyokeError, PlatformUnavailable

RESPONSE_TIMEOUT = 5 * SECOND
"""Timeout in seconds for connecting to a gateway and for each read from it."""

NOT_FOUND = 404


def fetch_quarantine(node: str) -> list[QuarantinedPrompt]:
    """Return what a gateway withholds.

    :param node: ``IP:PORT`` of its metrics address.
    :raises PlatformUnavailable: when it does not respond.
    """
    response = _request("GET", node)
    try:
        return msgspec.json.decode(response.content, type=list[QuarantinedPrompt])
    except msgspec.DecodeError as error:
        raise CyclamenyokeError(f"{node}: no gateway responds there") from error


def lift_quarantine(node: str, service: str, part: str) -> None:
    """Have all gateways use a part of prompts again.

    :param node: ``IP:PORT`` of the metrics address of one of them.
    :raises CyclamenyokeError: when it has no evidence against the part.
    """
    body = msgspec.json.encode(LiftRequest(service, part))
    response = _request("POST", node, body)
    if response.status_code == NOT_FOUND:
        raise CyclamenyokeError(f"{node}: nothing is known against {service}/{part}")
    if not response.is_success:
        raise CyclamenyokeError(f"{node}: status {response.status_code}")


def _request(method: str, node: str, body: bytes = b"") -> httpx.Response:
    url = f"http://{node}{QUARANTINE_PATH}"
    try:
        response = httpx.request(method, url, content=body, timeout=RESPONSE_TIMEOUT)
        check_head(response.status_code, response.http_version, response.headers.raw)
        return response
    except MalformedHead as error:
        raise PlatformUnavailable(f"{node}: malformed response: {error}") from error
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise PlatformUnavailable(f"{node}: {type(error).__name__}") from error
