"""Budgets that limit retries in proportion to first attempts."""

from collections import Counter, deque
from dataclasses import dataclass

from cyclamenyoke.core.orphaned_copies import COPY_LIFETIME_WINDOWS
from cyclamenyoke.core.units import SECOND

RETRY_RATIO = 0.1
"""Tokens that each first attempt adds, i.e. retries allowed per first attempt."""

MAX_RETRY_TOKENS = 10.0
"""Capacity of the token bucket, in retries."""

RETRY_TOKENS_PER_SECOND = 1.0 / SECOND
"""Refill rate of the token bucket, independent of traffic."""

SHARED_BUDGET_FRACTION = 0.7
"""Fraction of a shared fixed number of retries that is used; the rest is a margin for
retries that a link holds back, so that they reach endpoints in a later window."""

CREDIT_LIFETIME_WINDOWS = 0.5
"""Windows within which the credit of a first attempt is spent or lost."""

ROUNDING = 1e-9
"""Retries by which sums of credits may be wrong."""


class RetryBudget:
    """A token bucket that is refilled by first attempts and over time.

    Limits the load that an entry's retries add when many agents fail at once.
    """

    def __init__(self, now: float) -> None:
        self._tokens = MAX_RETRY_TOKENS
        self._refilled_at = now

    def on_first_attempt(self) -> None:
        """Add the tokens for one first attempt."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRY_RATIO)

    def take(self, now: float) -> bool:
        """Take a token for one retry; return whether one was available."""
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._tokens = min(
            MAX_RETRY_TOKENS, self._tokens + elapsed * RETRY_TOKENS_PER_SECOND
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryBudgetState:
    """What a node counts for one service, for logs and metrics.

    :param since: when the node began to count, by its clock.
    :param first_attempts: first attempts in the window.
    :param retries: retries in the window.
    :param allowed: retries that the node may make in the window.
    :param late_copies: requests that count though their retry is out of the window,
        since an endpoint reads them late.
    :param nodes: number of nodes by which the fixed number is divided.
    :param has_fixed_part: whether the node may use its part of the fixed number.
    """

    since: float
    first_attempts: int
    retries: int
    allowed: float
    late_copies: float
    nodes: int
    has_fixed_part: bool


@dataclass(slots=True)
class Credit:
    """A fraction of a retry, earned or spent, that counts until it expires."""

    expires_at: float
    amount: float


@dataclass(frozen=True, slots=True)
class UnreadCopy:
    """A request that an endpoint may read later.

    :param sent_at: when it was sent to that endpoint.
    :param repeated_at: when it was repeated, and counted.
    """

    sent_at: float
    repeated_at: float


@dataclass(slots=True)
class LateCopies:
    """Requests that an endpoint has read late, which count until they expire."""

    expires_at: float
    endpoint: str
    count: int


class WindowedRetryBudget:
    """A node's part of a retry budget that all nodes share.

    In any window the budget allows retries in proportion to the first attempts, plus a
    fixed number. Each node works its part out alone, so the parts must add up whichever
    nodes die, start, leave or are cut off, and wherever callers move:

    * A first attempt earns a fraction of a retry that only its own node spends, within
      half a window. So the retries of a window are earned in one and a half windows, by
      all nodes together, and the fraction is the ratio divided by that.
    * A node spends an equal part of the fixed number in a window. The caller tells by
      how many nodes it is divided, and whether this node has a part
      (:meth:`cyclamenyoke.core.peers.Peers.budget_part`).
    * A frozen endpoint reads at once what it was sent in many windows, also requests
      that were repeated meanwhile, and the repeats. Such a copy that is older than a
      window counts until the endpoint is heard of, and all of them count for a window
      after that. If both copies of a request are unread, both count.
    * The copies of a node that has ended are counted by all others, in equal parts
      (:class:`cyclamenyoke.core.orphaned_copies.OrphanedCopies`).

    :param ratio: retries allowed per first attempt.
    :param fixed_retries: additional retries of all nodes together in a window.
    :param window: length of the sliding window in seconds.
    :param now: when the node begins to count.
    """

    def __init__(
        self, ratio: float, fixed_retries: float, window: float, now: float = 0.0
    ) -> None:
        self._since = now
        self.change(ratio, fixed_retries, window)
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._earned: deque[Credit] = deque()
        self._spent: deque[Credit] = deque()
        # By endpoint, in the order of the times: when it was last heard of.
        self._heard_at: dict[str, float] = {}
        # By endpoint, in the order of the repeats.
        self._unread: dict[str, deque[UnreadCopy]] = {}
        self._read_late: deque[LateCopies] = deque()

    def change(self, ratio: float, fixed_retries: float, window: float) -> None:
        """Apply other bounds from now on; see the class for the parameters."""
        self._credit_per_attempt = ratio / (1 + CREDIT_LIFETIME_WINDOWS)
        self._fixed = fixed_retries * SHARED_BUDGET_FRACTION
        self._window = window

    def on_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._drop_expired(now)
        self._first_attempts.append(now)
        lifetime = CREDIT_LIFETIME_WINDOWS * self._window
        self._earned.append(Credit(now + lifetime, self._credit_per_attempt))

    def take(
        self,
        now: float,
        nodes: int,
        has_fixed_part: bool = True,
        orphans: float = 0.0,
    ) -> bool:
        """Count one retry if the budget allows it; return whether it did.

        :param nodes: number of nodes by which the fixed number is divided.
        :param has_fixed_part: whether this node may use its part of the fixed number.
        :param orphans: this node's part of the copies of ended nodes.
        """
        if not self.allows(now, nodes, has_fixed_part, orphans):
            return False
        self._retries.append(now)
        missing = 1.0
        while self._earned and missing > 0:
            credit = self._earned[0]
            used = min(missing, credit.amount)
            missing -= used
            credit.amount -= used
            if credit.amount <= 0:
                self._earned.popleft()
        if missing > 0:
            self._spent.append(Credit(now + self._window, missing))
        return True

    def on_repeated(self, endpoint: str, sent_at: float, now: float) -> None:
        """Note that a request was repeated whose first endpoint is silent.

        :param sent_at: when it was sent to that endpoint, which has read it if it was
            heard of since.
        """
        if self._heard_at.get(endpoint, sent_at) <= sent_at:
            copies = self._unread.setdefault(endpoint, deque())
            copies.append(UnreadCopy(sent_at, now))

    def on_given_up(self, endpoint: str, sent_at: float) -> None:
        """Note that a retry got no answer, which its endpoint may read later.

        :param sent_at: when it was sent, and counted.
        """
        self.on_repeated(endpoint, sent_at, sent_at)

    def on_heard(self, endpoint: str, sent_at: float, now: float) -> None:
        """Note that an endpoint answers, so that it has read what it got before.

        :param sent_at: when the request was sent that it answers. The answer may have
            been under way for long, so later requests may still be unread.
        """
        self._heard_at.pop(endpoint, None)
        self._heard_at[endpoint] = now
        copies = self._unread.pop(endpoint, None)
        if not copies:
            return
        unread = deque(copy for copy in copies if copy.sent_at > sent_at)
        if unread:
            self._unread[endpoint] = unread
        count = len(copies) - len(unread)
        if count:
            self._read_late.append(LateCopies(now + self._window, endpoint, count))

    def copies(self, now: float) -> dict[str, int]:
        """Return the copies that the node counts, or may have to, by endpoint."""
        self._drop_expired(now)
        counts = Counter({key: len(each) for key, each in self._unread.items()})
        for late in self._read_late:
            counts[late.endpoint] += late.count
        return dict(counts)

    def allows(
        self,
        now: float,
        nodes: int,
        has_fixed_part: bool = True,
        orphans: float = 0.0,
    ) -> bool:
        """Return whether the budget allows one more retry.

        :param nodes: number of nodes by which the fixed number is divided.
        :param has_fixed_part: whether this node may use its part of the fixed number.
        :param orphans: this node's part of the copies of ended nodes.
        """
        state = self.state(now, nodes, has_fixed_part, orphans)
        return state.retries + 1 <= state.allowed + ROUNDING

    def state(
        self,
        now: float,
        nodes: int,
        has_fixed_part: bool = True,
        orphans: float = 0.0,
    ) -> RetryBudgetState:
        """Return what is counted in the window that ends now.

        :param nodes: number of nodes by which the fixed number is divided.
        :param has_fixed_part: whether this node may use its part of the fixed number.
        :param orphans: this node's part of the copies of ended nodes.
        """
        self._drop_expired(now)
        nodes = max(1, nodes)
        part = self._fixed / nodes if has_fixed_part else 0.0
        unspent = max(0.0, part - sum(credit.amount for credit in self._spent))
        earned = sum(credit.amount for credit in self._earned)
        late = self._late_copies(now) + orphans
        retries = len(self._retries)
        return RetryBudgetState(
            self._since,
            len(self._first_attempts),
            retries,
            retries + max(0.0, earned + unspent - late),
            late,
            nodes,
            has_fixed_part,
        )

    def _late_copies(self, now: float) -> float:
        """Return the copies that count though their retry is out of the window."""
        overdue = sum(
            copy.repeated_at <= now - self._window
            for copies in self._unread.values()
            for copy in copies
        )
        return overdue + sum(copies.count for copies in self._read_late)

    def _drop_expired(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
        expiring: tuple[deque[Credit] | deque[LateCopies], ...]
        expiring = self._earned, self._spent, self._read_late
        for each in expiring:
            while each and each[0].expires_at <= now:
                each.popleft()
        while self._heard_at:
            endpoint = next(iter(self._heard_at))
            if self._heard_at[endpoint] > now - self._window:
                break
            del self._heard_at[endpoint]
        for endpoint, copies in list(self._unread.items()):
            oldest = now - COPY_LIFETIME_WINDOWS * self._window
            while copies and copies[0].repeated_at <= oldest:
                copies.popleft()
            if not copies:
                del self._unread[endpoint]
