"""How a gateway sends queries and commands to the ranks of engine groups."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.expert_map_planner import ExpertMap
from cyclamenyoke.core.gateway_config import ExpertLayout
from cyclamenyoke.core.rank_group import RankReport
from cyclamenyoke.exceptions import CyclamenyokeError


class EngineControlError(CyclamenyokeError):
    """A rank returned no usable response."""


class CommandResult(enum.Enum):
    """The outcome of a command to a rank."""

    DONE = "done"
    """The command is in progress or done, or the requested state already holds."""
    REJECTED = "refused"
    """The command is invalid in the rank's state and will not be executed."""
    UNKNOWN = "unknown"
    """No conclusive response; the command may still be executed, even seconds later."""


@dataclass(frozen=True, slots=True)
class ExpertCounts:
    """How often the rank's requests selected each expert since its start, by set."""

    epoch: int
    counts: list[list[int]]


class EngineControl(ABC):
    """Sends queries and commands to ranks.

    Each call ends within a fraction of a second.
    """

    @abstractmethod
    async def report(self, endpoint: Endpoint) -> RankReport:
        """Return a rank's report.

        :raises EngineControlError: when there is no usable response.
        """

    @abstractmethod
    async def expert_counts(
        self, endpoint: Endpoint, layout: ExpertLayout
    ) -> ExpertCounts:
        """Return how often a rank's requests selected each expert.

        The group pauses briefly while a rank responds.

        :param layout: layout of the service's experts.
        :returns: one count for each expert of each set.
        :raises EngineControlError: when there is no usable response, such as one with
            another number of counts.
        """

    @abstractmethod
    async def prepare(
        self, endpoint: Endpoint, version: int, epoch: int, experts: ExpertMap
    ) -> CommandResult:
        """Make a rank load the experts that it needs for a map."""

    @abstractmethod
    async def arm(
        self, endpoint: Endpoint, version: int, epoch: int, step: int
    ) -> CommandResult:
        """Schedule the switch to a prepared map for the start of a pass.

        :param step: the pass at whose start the rank switches.
        """

    @abstractmethod
    async def disarm(
        self, endpoint: Endpoint, version: int, epoch: int
    ) -> CommandResult:
        """Cancel a scheduled switch."""

    @abstractmethod
    async def hold(self, endpoint: Endpoint, epoch: int, step: int) -> CommandResult:
        """Keep the group from starting a pass."""

    @abstractmethod
    async def release_hold(
        self, endpoint: Endpoint, epoch: int, step: int
    ) -> CommandResult:
        """Let the group start the pass that was held."""
