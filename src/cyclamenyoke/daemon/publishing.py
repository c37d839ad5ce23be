"""Publishes configurations through the platform's key-value store."""

import asyncio
import difflib
from random import Random

import msgspec

from cyclamenyoke.core.config import (
    ConfigIndex,
    Service,
    blob_digest,
    decode_service,
    encode_service,
)
from cyclamenyoke.core.publishing import Edit, merge
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.daemon.config_sync import (
    BLOB_PREFIX,
    INDEX_KEY,
    ConfigSync,
)
from cyclamenyoke.exceptions import PlatformUnavailable, PublishConflict
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import KeyValueStore, RevisionConflict

MAX_CAS_ATTEMPTS = 20
"""Maximum number of compare-and-swap attempts of one publish."""

MEAN_RETRY_DELAY = 50 * MILLISECOND
"""Mean delay between two attempts, in seconds."""


class ServiceEdit(msgspec.Struct, frozen=True):
    """One service of a publish request.

    :param base: the revision that the edit is based on; 0 for a new service.
    """

    service: Service
    base: int


class PublishRequest(msgspec.Struct, frozen=True):
    """A request of an operator to publish services.

    :param publish_id: chosen by the operator's client; a retry with the same id has
        no further effect.
    :param author: recorded in the history.
    """

    publish_id: str
    author: str
    edits: list[ServiceEdit]


class Publisher:
    """Writes publishes to the platform's store.

    A publish is accepted once the store holds an index that contains it.
    """

    def __init__(
        self,
        store: KeyValueStore,
        config_sync: ConfigSync,
        clock: Clock,
        random: Random,
    ) -> None:
        self._store = store
        self._config_sync = config_sync
        self._clock = clock
        self._random = random

    async def publish(self, request: PublishRequest) -> ConfigIndex:
        """Publish services; return the index that contains them.

        :raises PublishConflict: when an edit is based on an outdated revision;
            nothing was changed.
        :raises PlatformUnavailable: when the publish was not confirmed; it may or may
            not have been accepted.
        """
        blobs = [encode_service(edit.service) for edit in request.edits]
        edits = [
            Edit(edit.service.service, edit.base, blob_digest(blob))
            for edit, blob in zip(request.edits, blobs, strict=True)
        ]
        for blob in blobs:
            await self._store_blob(blob)
        index = await self._update_index(request, edits)
        self._config_sync.apply_published(index, blobs)
        return index

    async def _store_blob(self, blob: bytes) -> None:
        """Store a blob; a blob already stored under its digest is identical."""
        try:
            await self._store.compare_and_swap(BLOB_PREFIX + blob_digest(blob), 0, blob)
        except RevisionConflict:
            return

    async def _update_index(
        self, request: PublishRequest, edits: list[Edit]
    ) -> ConfigIndex:
        last_error: Exception = PlatformUnavailable(
            "configuration index changed during every attempt"
        )
        for _ in range(MAX_CAS_ATTEMPTS):
            try:
                return await self._try_update_index(request, edits)
            except (RevisionConflict, PlatformUnavailable) as error:
                last_error = error
            await asyncio.sleep(MEAN_RETRY_DELAY * self._random.uniform(0.5, 1.5))
        raise PlatformUnavailable(
            f"publish not confirmed by the platform: {last_error}"
        )

    async def _try_update_index(
        self, request: PublishRequest, edits: list[Edit]
    ) -> ConfigIndex:
        stored = await self._store.get(INDEX_KEY)
        index = ConfigIndex()
        if stored.value is not None:
            index = msgspec.json.decode(stored.value, type=ConfigIndex)
        now = self._clock.now()
        merged = merge(index, edits, request.publish_id, request.author, now)
        if merged.stale:
            raise await self._build_conflict(request, index, merged.stale[0])
        if merged.index is None:
            # The index already contains this publish or the same definitions.
            return index
        value = msgspec.json.encode(merged.index)
        await self._store.compare_and_swap(INDEX_KEY, stored.revision, value)
        return merged.index

    async def _build_conflict(
        self, request: PublishRequest, index: ConfigIndex, name: str
    ) -> PublishConflict:
        edited = next(
            edit.service for edit in request.edits if edit.service.service == name
        )
        digest = index.services[name].digest if name in index.services else ""
        stored = await self._store.get(BLOB_PREFIX + digest)
        in_force = decode_service(stored.value) if stored.value else None
        return PublishConflict(name, diff_services(in_force, edited))


def diff_services(in_force: Service | None, edited: Service) -> str:
    """Return a unified diff from the service in force, if any, to the edited one."""
    return "\n".join(
        difflib.unified_diff(
            _lines(in_force), _lines(edited), "in force", "edited", lineterm=""
        )
    )


def _lines(service: Service | None) -> list[str]:
    if service is None:
        return []
    text = msgspec.json.format(encode_service(service), indent=2)
    return text.decode().splitlines()
