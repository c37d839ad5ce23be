"""Token buckets that hold one request."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """One node's part of a limit. It holds one request at most.

    >>> bucket = TokenBucket(tokens=1.0, filled_at=0.0)
    >>> bucket.take(0.5, now=0.0), bucket.take(0.5, now=1.0), bucket.take(0.5, now=2.0)
    (True, False, True)
    """

    tokens: float
    filled_at: float

    def wait(self, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent.

        :param rate: requests a second of this part.
        """
        self.tokens = min(1.0, self.tokens + (now - self.filled_at) * rate)
        self.filled_at = now
        return max(0.0, (1.0 - self.tokens) / rate)

    def take(self, rate: float, now: float) -> bool:
        """Take the token for one request; return whether there was one."""
        if self.wait(rate, now) > 0.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class Share:
    """One node's part of a limit.

    :param rate: requests a second of this part.
    :param bucket: ``None`` if the node has no part.
    """

    rate: float
    bucket: TokenBucket | None

    def wait(self, now: float) -> float | None:
        """Return the seconds until a request may be sent; ``None`` without a part."""
        return None if self.bucket is None else self.bucket.wait(self.rate, now)

    def take(self, now: float) -> None:
        """Count a request against this part."""
        if self.bucket is not None:
            self.bucket.take(self.rate, now)


NO_SHARE = Share(0.0, None)
"""The share of a node that has no part of a limit."""
