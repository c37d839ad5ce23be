"""Reads the reports of engine ranks."""

import asyncio
from collections.abc import Sequence

from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.core.endpoint_registry import Endpoint, EndpointRegistry
from cyclamenyoke.core.rank_group import RankGroup, RankReport, complete_groups
from cyclamenyoke.ports.engine_control import EngineControl, EngineControlError


class RankReports:
    """Reads the reports of the ranks that are in the registry."""

    def __init__(
        self, control: EngineControl, registry: EndpointRegistry, log: Log
    ) -> None:
        self._control = control
        self._registry = registry
        self._log = log

    async def read(self, endpoint: Endpoint) -> RankReport | None:
        """Return a rank's report; ``None`` if it sent no usable one."""
        try:
            return await self._control.report(endpoint)
        except EngineControlError as error:
            self._log.debug(
                "rank sent no report", endpoint=endpoint.id, error=str(error)
            )
            return None

    async def read_ranks(
        self, endpoints: Sequence[Endpoint]
    ) -> list[tuple[Endpoint, RankReport | None]]:
        """Return ranks with their reports; ``None`` for those that sent none."""
        found = await asyncio.gather(*(self.read(each) for each in endpoints))
        return list(zip(endpoints, found, strict=True))

    async def read_service(
        self, service: str
    ) -> list[tuple[Endpoint, RankReport | None]]:
        """Return all ranks of a service with their reports."""
        return await self.read_ranks(
            [
                each
                for each in self._registry.endpoints.values()
                if each.service == service
            ]
        )

    async def groups(self, service: str) -> list[RankGroup]:
        """Return the groups of which every rank reports and serves."""
        return complete_groups(
            (endpoint, report)
            for endpoint, report in await self.read_service(service)
            if report is not None
        )
