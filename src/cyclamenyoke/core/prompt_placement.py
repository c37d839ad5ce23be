"""Places requests by the prompt tokens that engines have yet to read.

An engine reads prompts between the steps in which it writes, so each prompt makes the
passes longer that read it, for all streams of the engine, and later prompts wait for
it. A request therefore goes to the engine with the least predicted time to the first
event, preferably one whose streams tolerate the longer pass and which reads the prompt
together with those before it in a single pass. A prompt that takes more than one pass
goes where the fewest requests will follow it (docs/design/long-prompts.md).

Sizes are those that callers state. They only order the engines that have a free slot:
a wrong size never holds a request back, except where memory is concerned, and there an
engine without requests takes any.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from cyclamenyoke.core.gateway_config import EngineModel
from cyclamenyoke.core.pass_model import MAX_GAP_SHARE

LONG_PROMPT_RATIO = 2.0
"""Multiple of the mean prompt length above which metrics count a prompt as long. With
prompts of up to 2,880 tokens and a mean of 870, these are some tenth of all."""

MAX_COUNTED_TOKENS = 1_000_000
"""Largest size that counts for a prompt or an answer, more than engines can hold.
Callers state sizes, and sums of any size would not fit in the messages to peers."""


def is_long(model: EngineModel, tokens: int) -> bool:
    """Return whether metrics count a prompt as long."""
    mean = model.mean_prompt_tokens
    return mean > 0 and tokens > LONG_PROMPT_RATIO * mean


@dataclass(slots=True)
class PromptTokens:
    """Prompt tokens at the endpoints, as far as known.

    :param unread: tokens of prompts, by endpoint, whose requests wait for their first
        event; of all nodes.
    :param own_unread: the part of them that this node's requests have brought.
    :param own_context: prompt and answer tokens of this node's requests in flight, by
        endpoint.
    """

    unread: Counter[str] = field(default_factory=Counter)
    own_unread: Counter[str] = field(default_factory=Counter)
    own_context: Counter[str] = field(default_factory=Counter)

    def replace_peer(self, before: Mapping[str, int], after: Mapping[str, int]) -> None:
        """Replace the unread tokens that a peer reported before by newer ones."""
        for endpoint, tokens in before.items():
            _add(self.unread, endpoint, -tokens)
        for endpoint, tokens in after.items():
            _add(self.unread, endpoint, tokens)


@dataclass(slots=True)
class Prompt:
    """The prompt of one request, and what it adds to the counts.

    :param tokens: stated tokens of the prompt; 0 if the request states none.
    :param output_limit: maximum number of tokens of the answer.
    :param counts: the counts of this node.
    """

    tokens: int
    output_limit: int
    counts: PromptTokens
    _endpoint: str | None = None
    _is_unread: bool = False

    def __post_init__(self) -> None:
        self.tokens = min(max(0, self.tokens), MAX_COUNTED_TOKENS)
        self.output_limit = min(max(0, self.output_limit), MAX_COUNTED_TOKENS)

    @property
    def context(self) -> int:
        """Tokens that the request may occupy in the memory of an engine."""
        return self.tokens + self.output_limit

    def place(self, endpoint: str) -> None:
        """Count the prompt at an endpoint, and no longer at the one before."""
        self.release()
        if self.tokens <= 0:
            return
        self._endpoint, self._is_unread = endpoint, True
        _add(self.counts.unread, endpoint, self.tokens)
        _add(self.counts.own_unread, endpoint, self.tokens)
        _add(self.counts.own_context, endpoint, self.context)

    def on_first_event(self) -> None:
        """Note that the endpoint has read the prompt."""
        if self._endpoint is None or not self._is_unread:
            return
        self._is_unread = False
        _add(self.counts.unread, self._endpoint, -self.tokens)
        _add(self.counts.own_unread, self._endpoint, -self.tokens)

    def release(self) -> None:
        """Remove the prompt from the counts, however its attempt has ended."""
        self.on_first_event()
        if self._endpoint is not None:
            _add(self.counts.own_context, self._endpoint, -self.context)
            self._endpoint = None


@dataclass(frozen=True, slots=True)
class PromptPlacement:
    """Compares a service's engines for one request.

    :param prompt: the prompt of the request.
    :param read_time: seconds that reading a token takes.
    :param load_time: seconds that each request in flight adds to a pass.
    :param pass_time: seconds of a pass without requests and prompts.
    :param max_pass_time: seconds of a pass that the streams of an engine tolerate.
    :param max_unread: tokens that are read in one pass.
    :param usual_context: tokens that a peer's request usually occupies in memory.
    :param capacity: tokens that the memory of an engine holds.
    """

    prompt: Prompt
    read_time: float
    load_time: float
    pass_time: float
    max_pass_time: float
    max_unread: float
    usual_context: float
    capacity: float

    @classmethod
    def of(
        cls,
        model: EngineModel,
        target_gap: float,
        prompt: Prompt,
    ) -> "PromptPlacement | None":
        """Return how to compare engines; ``None`` if figures or sizes are missing.

        :param target_gap: seconds between two events that the streams of the service
            tolerate; 0 without a target.
        """
        if model.prefill_rate <= 0 or prompt.tokens <= 0:
            return None
        steps = model.steps_per_pass
        context = model.mean_prompt_tokens + model.mean_output_tokens / 2
        per_request = model.per_sequence + model.per_context_token * context
        return cls(
            prompt,
            read_time=1 / model.prefill_rate,
            load_time=steps * per_request,
            pass_time=steps * model.step,
            max_pass_time=MAX_GAP_SHARE * target_gap or float("inf"),
            max_unread=steps * model.prefill_chunk or float("inf"),
            usual_context=model.mean_prompt_tokens + model.mean_output_tokens,
            capacity=model.kv_capacity_tokens or float("inf"),
        )

    def has_memory(self, endpoint: str, requests: int, own_requests: int) -> bool:
        """Return whether an engine has memory for the request.

        Peers' requests count with their usual size, at least with their unread tokens.
        An engine without requests takes any: a size that is too large may be wrong.

        :param requests: requests in flight there.
        :param own_requests: those of this node.
        """
        if not requests or self.capacity == float("inf"):
            return True
        counts = self.prompt.counts
        peers = (requests - own_requests) * self.usual_context
        unread = counts.unread.get(endpoint, 0) - counts.own_unread.get(endpoint, 0)
        held = counts.own_context.get(endpoint, 0) + max(peers, unread)
        return held + self.prompt.context <= self.capacity

    def cost(self, requests: int, unread: int) -> tuple[bool, float]:
        """Return what to compare engines by; the least is best.

        A prompt that takes more than one pass goes to the engine with the most load
        that may have it: later requests, also those of nodes that don't know of it yet,
        go to engines with less.

        :param requests: requests in flight at the engine.
        :param unread: prompt tokens there whose requests wait for their first event.
        :returns: whether the prompt would delay streams or prompts there beyond the
            bounds, and seconds by which engines are compared otherwise.
        """
        load_time = requests * self.load_time
        unread_time = unread * self.read_time
        if self.prompt.tokens > self.max_unread:
            wait = unread_time - load_time
        else:
            wait = unread_time + load_time
        tokens = unread + self.prompt.tokens
        if unread and tokens > self.max_unread:
            return True, wait
        read_time = min(tokens, self.max_unread) * self.read_time
        pass_time = self.pass_time + load_time + read_time
        return requests > 0 and pass_time > self.max_pass_time, wait


def _add(counts: Counter[str], key: str, change: int) -> None:
    """Change a count and drop it at zero."""
    value = counts.get(key, 0) + change
    if value:
        counts[key] = value
    else:
        counts.pop(key, None)
