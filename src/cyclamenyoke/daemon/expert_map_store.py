"""The expert maps of engine groups that are kept in the platform's store."""

from dataclasses import dataclass

import msgspec

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.decoding import Count, Integer64, decode_json
from cyclamenyoke.core.endpoint_registry import EndpointRegistry
from cyclamenyoke.core.expert_map_planner import (
    ExpertMap,
    initial_map,
    is_complete_map,
)
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.rank_group import RankGroup
from cyclamenyoke.exceptions import MalformedValue, PlatformUnavailable
from cyclamenyoke.ports.key_value_store import KeyValueStore, RevisionConflict

MAP_PREFIX = "cyclamenyoke/expert-maps/"


@dataclass(slots=True)
class StoredMaps:
    """Maps of a group as they are kept in the store.

    :param by_version: the map in force and the one that the group may switch to.
    """

    epoch: Integer64
    by_version: dict[Integer64, list[list[list[Count]]]]


class ExpertMapStore:
    """Reads and writes the maps, and keeps those that this node has seen.

    :param registry: its position tells when the store was restored.
    """

    def __init__(
        self,
        store: KeyValueStore,
        registry: EndpointRegistry,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self._store = store
        self._registry = registry
        self._metrics = metrics
        self._log = log
        # The store's era in which the maps of this node were last written.
        self._maps_era = 0
        self._maps: dict[str, StoredMaps] = {}
        # By group: the last problem of its stored maps that was logged.
        self._reported_maps: dict[str, str] = {}

    async def current(self, group: RankGroup, layout: ExpertLayout) -> ExpertMap | None:
        """Return the map in force, or ``None`` if it is unknown."""
        version = group.common_value(lambda report: report.map_version)
        if version is None:
            return None
        if version == 0:
            # The group has not switched its map since it was formed.
            return initial_map(layout, len(group.ranks))
        maps = self._maps.get(group.name)
        if maps is None or version not in maps.by_version:
            stored = await self._store.get(MAP_PREFIX + group.name)
            if stored.value is None:
                return None
            maps = self._decode_maps(group.name, stored.value)
            if maps is None:
                return None
            self._maps[group.name] = maps
        current = maps.by_version.get(version) if maps.epoch == group.epoch else None
        if current is not None and not is_complete_map(
            current, layout, len(group.ranks)
        ):
            self._report_invalid_maps(group.name, "experts are missing or unknown")
            return None
        return current

    def _decode_maps(self, group: str, value: bytes) -> StoredMaps | None:
        """Decode a group's stored maps; ``None`` and a log line if they are invalid."""
        try:
            return decode_json(value, StoredMaps)
        except MalformedValue as error:
            self._report_invalid_maps(group, str(error))
            return None

    def _report_invalid_maps(self, group: str, problem: str) -> None:
        """Count an invalid map; log it unless that is the group's last problem."""
        self._metrics.count("invalid_expert_maps", group=group)
        if self._reported_maps.get(group) != problem:
            self._reported_maps[group] = problem
            self._log.warning("stored map is invalid", group=group, error=problem)

    async def store(self, group: RankGroup, version: int, experts: ExpertMap) -> None:
        """Store a map beside the one in force, for the next lock holder."""
        key = MAP_PREFIX + group.name
        stored = await self._store.get(key)
        in_force = group.common_value(lambda report: report.map_version)
        before = self._maps.get(group.name)
        maps = {version: experts}
        if before is not None and before.epoch == group.epoch and in_force is not None:
            maps |= {
                number: each
                for number, each in before.by_version.items()
                if number == in_force
            }
        updated = StoredMaps(group.epoch, maps)
        value = msgspec.json.encode(updated)
        await self._store.compare_and_swap(key, stored.revision, value)
        self._maps[group.name] = updated

    async def restore(self) -> None:
        """Write the maps that this node knows to a store that may have lost them."""
        era = self._registry.position.era
        if era == self._maps_era:
            return
        try:
            for name, known in self._maps.items():
                await self._restore_map(name, known)
        except (PlatformUnavailable, RevisionConflict) as error:
            self._log.info("expert maps not restored; retrying", error=str(error))
            return
        self._maps_era = era

    async def _restore_map(self, name: str, known: StoredMaps) -> None:
        key = MAP_PREFIX + name
        stored = await self._store.get(key)
        if stored.value is not None:
            maps = self._decode_maps(name, stored.value)
            versions = maps.by_version if maps is not None else {}
            if max(versions, default=0) >= max(known.by_version, default=0):
                return
        value = msgspec.json.encode(known)
        await self._store.compare_and_swap(key, stored.revision, value)
