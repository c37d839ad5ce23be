"""Reads the reports of engine ranks."""

import asyncio

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

    async def groups(self, service: str) -> list[RankGroup]:
        """Return the groups of which every rank reports and serves."""
        endpoints = [
            each
            for each in self._registry.endpoints.values()
            if each.service == service
        ]
        found = await asyncio.gather(*(self.read(each) for each in endpoints))
        return complete_groups(
            (endpoint, report)
            for endpoint, report in zip(endpoints, found, strict=True)
            if report is not None
        )
