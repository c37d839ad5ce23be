"""Limits on an agent's calls to the journal: backoff in an outage, and write rate."""

from random import Random

from cyclamenyoke.core.units import MILLISECOND, SECOND

INITIAL_BACKOFF = 50 * MILLISECOND
"""Mean of the first retry delay after a failure, in seconds; doubles with each failure
up to :data:`MAX_BACKOFF`."""

MAX_BACKOFF = 2 * SECOND
"""Maximum mean retry delay in seconds."""

CLAIM_TIMEOUT = 2 * SECOND
"""Seconds after which a claim that was not written is rejected."""

OUTAGE_THRESHOLD = 1 * SECOND
"""Seconds of continuous failures after which the key-value service counts as
unavailable."""

CLAIM_TIMEOUT_IN_OUTAGE = 100 * MILLISECOND
"""Seconds after which a claim is rejected while that service is unavailable."""

DEFAULT_WRITE_RATE = 20.0
"""Journal writes per second of an agent that has no configuration yet."""

BURST_DURATION = 2 * SECOND
"""Capacity of the token bucket, in seconds of its refill rate."""


class JournalBackoff:
    """Exponential backoff of all journal calls of an agent, and outage detection.

    While calls fail, the agent makes a single call per retry delay for all its
    slots, which avoids a thundering herd when the key-value service recovers.

    :param random: random number generator for jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failing_since: float | None = None
        self._delay = INITIAL_BACKOFF
        self._retry_at = 0.0

    def on_success(self) -> None:
        """Reset the backoff after a reply of the key-value service."""
        self._failing_since = None
        self._delay = INITIAL_BACKOFF
        self._retry_at = 0.0

    def on_failure(self, now: float) -> None:
        """Start or extend the backoff after a call without a reply."""
        if self._failing_since is None:
            self._failing_since = now
        self._retry_at = now + self._delay * self._random.uniform(0.5, 1.5)
        self._delay = min(MAX_BACKOFF, 2 * self._delay)

    def claim_deadline(self, now: float) -> float:
        """Return the Unix time at which a claim made now is rejected if not written."""
        since = self._failing_since
        is_outage = since is not None and now - since >= OUTAGE_THRESHOLD
        return now + (CLAIM_TIMEOUT_IN_OUTAGE if is_outage else CLAIM_TIMEOUT)

    def can_call(self, now: float) -> bool:
        """Return whether a call may be made; during backoff only one probe may."""
        if self._failing_since is None:
            return True
        if now < self._retry_at:
            return False
        self._retry_at = now + self._delay
        return True


class WriteRateLimiter:
    """A token bucket for one agent's share of the platform's write budget.

    A claim may take the last token. Outcomes can wait, so they leave half of the
    bucket to claims.

    :param rate: writes per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_DURATION
        self._refilled_at: float | None = None

    def set_rate(self, rate: float) -> None:
        """Set the writes per second."""
        self._rate = rate

    def take(self, is_claim: bool, now: float) -> bool:
        """Take a token for one write; return whether one was available."""
        since = now if self._refilled_at is None else self._refilled_at
        self._refilled_at = max(now, since)
        refill = max(0.0, now - since) * self._rate
        limit = max(1.0, self._rate * BURST_DURATION)
        self._tokens = min(limit, self._tokens + refill)
        if self._tokens < (1.0 if is_claim else max(1.0, limit / 2)):
            return False
        self._tokens -= 1.0
        return True
