"""HTTP client of the operators' API, which every entry serves."""

from collections.abc import Sequence
from typing import TypeVar

import httpx
import msgspec

from cyclamenyoke.adapters.head_check import MalformedHead, check_head
from cyclamenyoke.core.burn_rate import BurnRateRow
from cyclamenyoke.core.config import ConfigIndex
from cyclamenyoke.core.units import MEBIBYTE, SECOND
from cyclamenyoke.daemon.operators import ConfigView, ConflictBody, Status
from cyclamenyoke.daemon.publishing import PublishRequest
from cyclamenyoke.exceptions import (
    CyclamenyokeError,
    PlatformUnavailable,
    PublishConflict,
)

RESPONSE_TIMEOUT = 15 * SECOND
"""Timeout in seconds for connecting to an entry and for each read from it."""

MAX_RESPONSE_BYTES = 64 * MEBIBYTE
"""Largest response in bytes that is read from an entry."""

CONFLICT = 409
UNAUTHORIZED = 401
OK = 200

T = TypeVar("T")


class CredentialRejected(CyclamenyokeError):
    """An entry rejected the operators' credential."""


class OperatorsClient:
    """Sends each request to the entries in turn until one handles it.

    An entry that does not respond, or responds with a status of 500 or above, is
    skipped.

    :param entries: ``IP:PORT`` of the operators' APIs, in order of preference.
    :param key: the operators' credential.
    """

    def __init__(self, entries: Sequence[str], key: str) -> None:
        self._entries = entries
        headers = {"Authorization": f"Bearer {key}"}
        self._client = httpx.Client(headers=headers, timeout=RESPONSE_TIMEOUT)

    def status(self) -> Status:
        """Return the state of the system as seen by one entry."""
        return self._get("/operators/v1/status", Status)

    def config(self) -> ConfigView:
        """Return the configuration in force."""
        return self._get("/operators/v1/config", ConfigView)

    def fetch_slo(self, entry: str) -> list[BurnRateRow]:
        """Return the burn rates measured by one entry.

        :raises PlatformUnavailable: when the entry does not respond.
        """
        return self._get("/operators/v1/slo", list[BurnRateRow], [entry])

    def fetch_metrics(self, node: str) -> str:
        """Return a node's metrics in the Prometheus text format.

        :raises CyclamenyokeError: when the node does not respond, or no entry does.
        """
        response = self._request("GET", f"/operators/v1/metrics/{node}", self._entries)
        if response.status_code != OK:
            raise CyclamenyokeError(f"no metrics available from node {node!r}")
        return response.text

    def publish(self, request: PublishRequest) -> ConfigIndex:
        """Publish services; a retry with the same publish id has no further effect.

        :raises PublishConflict: when an edit is based on an outdated revision.
        :raises PlatformUnavailable: when it is unknown whether the publish was
            accepted.
        """
        body = msgspec.json.encode(request)
        response = self._request("POST", "/operators/v1/publish", self._entries, body)
        if response.status_code == CONFLICT:
            conflict = msgspec.json.decode(response.content, type=ConflictBody)
            raise PublishConflict(conflict.service, conflict.diff)
        return _decode(response, ConfigIndex)

    def _get(
        self, path: str, response_type: type[T], entries: Sequence[str] | None = None
    ) -> T:
        return _decode(
            self._request("GET", path, entries or self._entries), response_type
        )

    def _request(
        self, method: str, path: str, entries: Sequence[str], body: bytes = b""
    ) -> httpx.Response:
        failure = "no entry address given; set --entry or CYCLAMENYOKE_ENTRIES"
        for entry in entries:
            try:
                response = self._fetch(method, f"http://{entry}{path}", body)
            except httpx.HTTPError as error:
                failure = f"{entry}: {type(error).__name__}"
                continue
            except MalformedHead as error:
                failure = f"{entry}: malformed response: {error}"
                continue
            if response is None:
                failure = f"{entry}: response exceeds {MAX_RESPONSE_BYTES} bytes"
                continue
            if response.status_code < 500:
                return response
            failure = f"{entry}: status {response.status_code}: {response.text}"
        raise PlatformUnavailable(failure)

    def _fetch(self, method: str, url: str, body: bytes) -> httpx.Response | None:
        """Return the response; ``None`` if it is too long."""
        content = bytearray()
        with self._client.stream(method, url, content=body) as response:
            check_head(
                response.status_code, response.http_version, response.headers.raw
            )
            for part in response.iter_bytes():
                content += part
                if len(content) > MAX_RESPONSE_BYTES:
                    return None
        return httpx.Response(response.status_code, content=bytes(content))


def _decode(response: httpx.Response, response_type: type[T]) -> T:
    if response.status_code == UNAUTHORIZED:
        raise CredentialRejected("operators' credential is missing or wrong")
    if response.status_code not in (OK, 201):
        raise CyclamenyokeError(f"status {response.status_code}: {response.text}")
    return msgspec.json.decode(response.content, type=response_type)
