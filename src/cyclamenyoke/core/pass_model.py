"""Predicts the pass time of an engine and how many requests it can serve on time.

Engines process all their requests in passes, and a stream gets one event per pass. The
published model of a service gives the pass time of a healthy engine with balanced
experts. The gaps that are observed between events show how much slower an engine really
is: because of expert skew, prefill of other requests, or a slow rank. So far the
forwarder uses only the published pass time and :class:`GapRatio`.
"""

from cyclamenyoke.core.gateway_config import EngineModel
from cyclamenyoke.core.units import SECOND

SMOOTHING = 0.1
"""Weight of the newest gap in the exponential moving averages. For one engine's events
an average covers about two seconds."""

MAX_GAP_SHARE = 0.9
"""Share of the target gap that a predicted pass may take; the rest is headroom for the
variation of passes around their average."""

MAX_SLOWDOWN = 50.0
"""Upper bound on an observed slowdown, as a multiple of the predicted pass time. It
limits the effect of a single stall on the average."""

OBSERVATION_LIFETIME = 4 * SECOND
"""Seconds without a new gap after which an average is no longer returned. The engine
has had no stream since then, so only a new request can show how fast it is."""


class PassModel:
    """Pass times of one service's engines.

    :param model: the published performance model.
    """

    def __init__(self, model: EngineModel) -> None:
        self._model = model
        self._slowdowns: dict[str, tuple[float, float]] = {}

    @property
    def model(self) -> EngineModel:
        """The published performance model."""
        return self._model

    def balanced_pass_time(self, requests: int) -> float:
        """Return the pass time in seconds of a healthy engine.

        :param requests: requests that the engine processes in the pass.
        """
        model = self._model
        context = model.mean_prompt_tokens + model.mean_output_tokens / 2
        per_request = model.per_sequence + model.per_context_token * context
        return model.steps_per_pass * (model.step + requests * per_request)

    def on_gap(self, endpoint: str, gap: float, requests: int, now: float) -> None:
        """Update an engine's slowdown from the gap between two events of a stream.

        :param gap: the gap in seconds.
        :param requests: number of requests in flight at the engine.
        """
        observed = min(MAX_SLOWDOWN, gap / self.balanced_pass_time(max(1, requests)))
        average, observed_at = self._slowdowns.get(endpoint, (observed, now))
        slowdown = average + SMOOTHING * (observed - average)
        self._slowdowns[endpoint] = slowdown, now

    def slowdown(self, endpoint: str, now: float) -> float:
        """Return the factor by which an engine is slower than published.

        1 without a recent observation.
        """
        slowdown, observed_at = self._slowdowns.get(endpoint, (1.0, now))
        return slowdown if now - observed_at < OBSERVATION_LIFETIME else 1.0

    def forget(self, endpoint: str) -> None:
        """Discard the observations of an engine that was removed."""
        self._slowdowns.pop(endpoint, None)

    def max_requests(
        self, endpoint: str, slots: int, target_gap: float, now: float
    ) -> int:
        """Return how many requests an engine can serve within the target gap.

        Returns all slots if even a single request would miss the target, because
        queueing would not help then.

        :param target_gap: seconds between two events of a stream; 0 without a target.
        """
        slowdown = self.slowdown(endpoint, now)
        allowed = MAX_GAP_SHARE * target_gap
        if not target_gap or slowdown * self.balanced_pass_time(1) > allowed:
            return slots
        requests = slots
        while requests > 1 and slowdown * self.balanced_pass_time(requests) > allowed:
            requests -= 1
        return requests


class GapRatio:
    """Moving average of a service's event gaps relative to the route's target gap.

    >>> ratio = GapRatio()
    >>> ratio.add(0.5, 1.0)
    >>> ratio.value(1.5)
    0.5
    >>> ratio.value(9.0)
    0.0
    """

    def __init__(self) -> None:
        self._value = 0.0
        self._observed_at = 0.0

    def add(self, ratio: float, now: float) -> None:
        """Add one gap.

        :param ratio: the gap divided by the target gap of its route.
        """
        average = self.value(now) or ratio
        self._value = average + SMOOTHING * (ratio - average)
        self._observed_at = now

    def value(self, now: float) -> float:
        """Return the average; 0 without a recent gap."""
        return self._value if now - self._observed_at < OBSERVATION_LIFETIME else 0.0
