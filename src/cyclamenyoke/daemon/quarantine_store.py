"""Keeps the evidence of the quarantine in the platform's store.

Nodes exchange their evidence while any of them lives; the store keeps it for the case
that all of them are started again. One node writes, each reads once when it starts.
"""

import asyncio
import time
from collections.abc import Callable
from random import Random

import msgspec

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.core.decoding import Number, decode_json
from cyclamenyoke.core.quarantine import Quarantine
from cyclamenyoke.core.request_quarantine import (
    QuarantineObserver,
    RequestQuarantine,
    TraitEvidence,
)
from cyclamenyoke.core.units import SECOND
from cyclamenyoke.exceptions import MalformedValue, PlatformUnavailable
from cyclamenyoke.ports.clock import Clock
from cyclamenyoke.ports.key_value_store import KeyValueStore, RevisionConflict

QUARANTINE_KEY = "cyclamenyoke/quarantine"
"""Store key of the evidence."""

RETRY_INTERVAL = 1 * SECOND
"""Seconds before a failed read of the store is retried."""

CHECK_INTERVAL = 1 * SECOND
"""Interval in seconds at which a node checks whether it has to write."""

_State = tuple[int, frozenset[tuple[str, str, frozenset[str]]]]
"""The store's era; of each trait the service, the trait and the engines that ended."""


class StoredQuarantine(msgspec.Struct):
    """The evidence as it is kept in the store.

    :param saved_at: Unix time in seconds to which the ages of the evidence refer.
    """

    saved_at: Number
    evidence: list[TraitEvidence]


class LoggingObserver(QuarantineObserver):
    """Logs what is withheld and since which ends."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def on_begin(self, quarantine: Quarantine) -> None:
        self._log.warning(
            "quarantine begun",
            service=quarantine.service,
            parts=sorted(quarantine.traits),
            engines=sorted(quarantine.engines),
        )

    def on_end(self, quarantine: Quarantine) -> None:
        self._log.info(
            "quarantine ended",
            service=quarantine.service,
            parts=sorted(quarantine.traits),
        )


class QuarantineStore:
    """Loads the quarantine of the store, and writes changes of it.

    :param is_writer: returns whether this node writes for all nodes.
    :param era: returns the store's era, after a rise of which all is written again.
    """

    def __init__(
        self,
        store: KeyValueStore,
        quarantine: RequestQuarantine,
        is_writer: Callable[[], bool],
        era: Callable[[], int],
        clock: Clock,
        random: Random,
        log: Log,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._is_writer = is_writer
        self._era = era
        self._clock = clock
        self._random = random
        self._log = log
        self._saved: _State | None = None

    async def run(self) -> None:
        """Load the quarantine, then write its changes until cancelled."""
        while not await self._load():
            await asyncio.sleep(RETRY_INTERVAL * self._random.uniform(0.75, 1.25))
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            current = self._current()
            if current != self._saved and self._is_writer():
                await self._save(current)

    def _current(self) -> _State:
        evidence = self._quarantine.evidence_to_store(self._clock.now())
        return self._era(), frozenset(
            (each.service, each.trait, frozenset(each.end_ages)) for each in evidence
        )

    async def _load(self) -> bool:
        """Merge what the store has; return whether it could be read."""
        try:
            found = await self._store.get(QUARANTINE_KEY)
        except PlatformUnavailable as error:
            self._log.info("quarantine not read; retrying", error=str(error))
            return False
        if found.value is not None:
            self._merge(found.value)
        self._saved = self._current()
        return True

    def _merge(self, value: bytes) -> None:
        try:
            stored = decode_json(value, StoredQuarantine)
        except MalformedValue as error:
            self._log.warning("stored quarantine is invalid; ignored", error=str(error))
            return
        elapsed = max(0.0, time.time() - stored.saved_at)
        aged = [
            TraitEvidence(
                each.service,
                each.trait,
                {engine: age + elapsed for engine, age in each.end_ages.items()},
                each.cleared_age + elapsed if each.cleared_age >= 0 else -1.0,
                each.data_centres,
            )
            for each in stored.evidence
        ]
        self._quarantine.merge(aged, self._clock.now())

    async def _save(self, current: _State) -> None:
        evidence = list(self._quarantine.evidence_to_store(self._clock.now()))
        value = msgspec.json.encode(StoredQuarantine(time.time(), evidence))
        try:
            found = await self._store.get(QUARANTINE_KEY)
            if found.value is not None or evidence:
                await self._store.compare_and_swap(
                    QUARANTINE_KEY, found.revision, value
                )
        except (PlatformUnavailable, RevisionConflict) as error:
            self._log.info("quarantine not saved; retrying", error=str(error))
            return
        self._saved = current
