"""The platform's key-value service and VM list over HTTP.

Protocol: ``GET /v1/kv/KEY`` answers 200 with the value and its revision in
``ETag``, or 404. ``PUT /v1/kv/KEY`` with ``If-Match: REVISION``, or
``If-None-Match: *`` for an absent key, answers 200 with the new ``ETag``, or 412.
``GET /v1/watch/KEY?after=REVISION&seconds=N`` answers like the first once the
revision is above the given one, or after N seconds. ``GET /v1/vms`` answers with
a JSON list.
"""

import httpx
import msgspec

from cyclamenyoke.core.units import SECOND
from cyclamenyoke.exceptions import PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.platform import (
    CasConflict,
    KeyValueStore,
    Versioned,
    Vm,
    VmList,
)

ANSWER_TIME = 1 * SECOND
"""Seconds after which a call without an answer counts as lost."""

OK = 200
NOT_FOUND = 404
PRECONDITION_FAILED = 412


class HttpPlatform(KeyValueStore, VmList):
    """A client of the platform.

    :param url: the base address of the service.
    """

    def __init__(self, url: str, clock: Clock) -> None:
        self._clock = clock
        self._client = httpx.AsyncClient(base_url=url, timeout=ANSWER_TIME)

    async def close(self) -> None:
        """Release the connections."""
        await self._client.aclose()

    async def get(self, key: str) -> Versioned:
        response = await self._request("GET", f"/v1/kv/{key}")
        return _versioned(response)

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> int:
        headers = {"If-Match": str(expected_revision)}
        if expected_revision == 0:
            headers = {"If-None-Match": "*"}
        response = await self._request(
            "PUT", f"/v1/kv/{key}", content=value, headers=headers
        )
        if response.status_code == PRECONDITION_FAILED:
            raise CasConflict(f"key {key!r} is not at revision {expected_revision}")
        if response.status_code != OK:
            raise PlatformUnavailable(f"key {key!r}: status {response.status_code}")
        return _revision(response)

    async def watch(self, key: str, after_revision: int, deadline: float) -> Versioned:
        wait = max(0.0, deadline - self._clock.now())
        response = await self._request(
            "GET",
            f"/v1/watch/{key}",
            params={"after": after_revision, "seconds": f"{wait:.3f}"},
            timeout=wait + ANSWER_TIME,
        )
        return _versioned(response)

    async def machines(self) -> list[Vm]:
        response = await self._request("GET", "/v1/vms")
        if response.status_code != OK:
            raise PlatformUnavailable(f"VM list: status {response.status_code}")
        return msgspec.json.decode(response.content, type=list[Vm])

    async def _request(
        self, method: str, path: str, **options: object
    ) -> httpx.Response:
        try:
            return await self._client.request(method, path, **options)  # type: ignore[arg-type]
        except httpx.HTTPError as error:
            kind = type(error).__name__
            raise PlatformUnavailable(f"{method} {path}: {kind}") from error


def _versioned(response: httpx.Response) -> Versioned:
    if response.status_code == NOT_FOUND:
        return Versioned(0, None)
    if response.status_code != OK:
        raise PlatformUnavailable(f"status {response.status_code}")
    return Versioned(_revision(response), response.content)


def _revision(response: httpx.Response) -> int:
    try:
        return int(response.headers["ETag"].strip('"'))
    except (KeyError, ValueError) as error:
        raise PlatformUnavailable("answer carries no revision") from error
