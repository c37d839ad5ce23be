"""Request state: when a rejection may say "not executed", and delivery of parts."""

from random import Random

import pytest

from cyclamenyoke.core.config import Endpoint
from cyclamenyoke.core.invariants import RaisingMonitor
from cyclamenyoke.core.messages import (
    Call,
    Chunk,
    Execute,
    Failed,
    Finished,
    Head,
    Load,
    NotRun,
    Queued,
    Reason,
    Resume,
    Revoke,
    Started,
)
from cyclamenyoke.core.request import RECONNECT_TIMEOUT, REVOKE_TIMEOUT, RequestCore
from cyclamenyoke.core.request_state import (
    AttemptIdAllocator,
    DeliverChunk,
    DeliverEnd,
    ExecutionStatus,
    RejectRequest,
    Send,
)
from cyclamenyoke.core.retry_budget import RetryBudget
from cyclamenyoke.core.routing import Router

NOW = 100.0
DEADLINE = NOW + 10.0


def make_request(agents: int, streaming: bool = True, key: str = "") -> RequestCore:
    router = Router("dc", Random(1))
    endpoints = [Endpoint(f"e{n}", "", "dc") for n in range(agents)]
    router.configure({"s": endpoints})
    for endpoint in endpoints:
        router.on_link_up(endpoint.name, "first", False, Load())
    call = Call(
        "r1", "s", "c", "POST", "/", "", b"", DEADLINE, DEADLINE - 1.0, key=key
    )  # fmt: skip
    attempt_ids = AttemptIdAllocator("entry@1")
    return RequestCore(
        call, streaming, router, attempt_ids, RetryBudget(NOW), RaisingMonitor()
    )


def execute_messages(effects) -> list[Send]:
    return [
        e for e in effects if isinstance(e, Send) and isinstance(e.message, Execute)
    ]


def find_rejection(effects) -> RejectRequest | None:
    return next((e for e in effects if isinstance(e, RejectRequest)), None)


def not_run(attempt, reason: Reason = Reason.REVOKED) -> NotRun:
    return NotRun(attempt, reason, 0.5, Load())


def test_rejection_is_not_executed_when_every_agent_confirms():
    request = make_request(2)
    effects = request.start(NOW)
    for _ in range(2):
        attempt = execute_messages(effects)[0].message.attempt
        effects = request.on_message(not_run(attempt, Reason.DRAINING), NOW)
    assert find_rejection(effects) == RejectRequest(
        ExecutionStatus.NOT_EXECUTED, Reason.DRAINING, 0.5, False
    )


def test_rejection_is_unknown_without_confirmation():
    request = make_request(1)
    request.start(NOW)
    effects = request.on_timer(DEADLINE)
    assert any(isinstance(e.message, Revoke) for e in effects)
    assert (
        find_rejection(request.on_timer(DEADLINE + REVOKE_TIMEOUT)).execution_status
        is ExecutionStatus.UNKNOWN
    )


def test_rejection_is_not_executed_when_the_confirmation_is_in_time():
    request = make_request(1)
    attempt = execute_messages(request.start(NOW))[0].message.attempt
    request.on_timer(DEADLINE)
    assert (
        find_rejection(request.on_message(not_run(attempt), DEADLINE)).execution_status
        is ExecutionStatus.NOT_EXECUTED
    )


def test_started_call_is_never_rejected_as_not_executed():
    request = make_request(1)
    attempt = execute_messages(request.start(NOW))[0].message.attempt
    request.on_message(Started(attempt), NOW)
    assert (
        find_rejection(request.on_timer(DEADLINE)).execution_status
        is ExecutionStatus.UNKNOWN
    )


def test_reply_of_a_new_incarnation_does_not_settle_the_earlier_attempt():
    """Guards against a false "not executed" after an agent's restart.

    A duplicate of the execute message can reach the agent's next incarnation after the
    earlier one has started the call. The next incarnation rejects it as stale, which
    must not settle the earlier attempt.
    """
    request = make_request(2)
    first = execute_messages(request.start(NOW))[0]
    request.on_link_down(first.agent, NOW)
    effects = request.on_link_up(first.agent, "second", NOW)
    second = execute_messages(effects)[0]
    late = not_run(first.message.attempt, Reason.STALE_INCARNATION)
    request.on_message(late, NOW)
    effects = request.on_message(not_run(second.message.attempt), NOW)
    assert find_rejection(effects).execution_status is ExecutionStatus.UNKNOWN


def test_stream_is_resumed_at_the_next_part():
    request = make_request(1)
    attempt = execute_messages(request.start(NOW))[0].message.attempt
    request.on_message(Head(attempt, "r1", 200, "text/event-stream"), NOW)
    request.on_message(Chunk(attempt, 1, b"a"), NOW)
    request.on_link_down("e0", NOW)
    effects = request.on_link_up("e0", "first", NOW + 1.0)
    resume = effects[0].message
    assert isinstance(resume, Resume)
    assert resume.next_sequence == 2


def test_parts_are_delivered_in_order_and_once():
    request = make_request(1)
    attempt = execute_messages(request.start(NOW))[0].message.attempt
    effects = request.on_message(Head(attempt, "r1", 200, "text/plain"), NOW)
    for sequence, data in ((2, b"b"), (1, b"a"), (1, b"a"), (3, b"c"), (2, b"b")):
        effects += request.on_message(Chunk(attempt, sequence, data), NOW)
    effects += request.on_message(Finished(attempt, 3, Load()), NOW)
    parts = [e.data for e in effects if isinstance(e, DeliverChunk)]
    assert parts == [b"a", b"b", b"c"]
    assert any(isinstance(e, DeliverEnd) for e in effects)


def test_agent_that_disconnects_before_the_first_part_is_replaced():
    request = make_request(2)
    first = execute_messages(request.start(NOW))[0]
    request.on_link_down(first.agent, NOW)
    effects = request.on_timer(NOW + RECONNECT_TIMEOUT)
    assert execute_messages(effects)[0].agent != first.agent


def test_engine_failure_after_the_first_part_is_not_retried():
    request = make_request(2)
    attempt = execute_messages(request.start(NOW))[0].message.attempt
    request.on_message(Head(attempt, "r1", 200, "text/event-stream"), NOW)
    request.on_message(Chunk(attempt, 1, b"a"), NOW)
    effects = request.on_message(Failed(attempt, Reason.ENDPOINT_FAILED), NOW)
    assert find_rejection(effects) == RejectRequest(
        ExecutionStatus.UNKNOWN, Reason.ENDPOINT_FAILED, 1.0, True
    )


@pytest.mark.parametrize("responds", [True, False])
def test_unresponsive_agent_is_skipped(responds):
    request = make_request(2)
    first = execute_messages(request.start(NOW))[0]
    if responds:
        request.on_message(Queued(first.message.attempt), NOW + 0.1)
    effects = request.on_timer(NOW + 0.5)
    assert bool(execute_messages(effects)) is not responds


def test_call_may_queue_after_rejections_by_busy_agents():
    request = make_request(4)
    effects = request.start(NOW)
    may_queue = []
    for _ in range(3):
        execute = execute_messages(effects)[0].message
        may_queue.append(execute.may_queue)
        effects = request.on_message(not_run(execute.attempt, Reason.BUSY), NOW)
    assert may_queue == [False, False, True]


def test_reason_of_an_unknown_outcome_is_why_an_attempt_may_have_run():
    """Guards against the reason of a later attempt that is known not to have run."""
    request = make_request(2)
    first = execute_messages(request.start(NOW))[0]
    request.on_link_down(first.agent, NOW)
    second = execute_messages(request.on_timer(NOW + RECONNECT_TIMEOUT))[0]
    rejected = not_run(second.message.attempt, Reason.JOURNAL_UNAVAILABLE)
    effects = request.on_message(rejected, NOW + 1)
    if find_rejection(effects) is None:
        effects = request.on_timer(NOW + 1 + REVOKE_TIMEOUT)
    rejection = find_rejection(effects)
    assert rejection.execution_status is ExecutionStatus.UNKNOWN
    assert rejection.reason is Reason.CONNECTION_LOST


def test_first_message_while_settling_does_not_delay_the_rejection():
    request = make_request(2)
    request._budget.take = lambda now: False
    attempt = execute_messages(request.start(NOW))[0].message.attempt
    request.on_timer(NOW + 0.5)
    request.on_message(Queued(attempt), NOW + 0.51)
    assert request.timer_at == NOW + 0.5 + REVOKE_TIMEOUT


def test_unresponsive_agent_is_revoked_once():
    request = make_request(3)
    request._budget.take = lambda now: False
    request.start(NOW)
    effects = request.on_timer(NOW + 0.5)
    assert [type(each.message) for each in effects if isinstance(each, Send)] == [
        Revoke
    ]


def test_call_that_ends_endpoints_is_not_sent_to_one_after_the_other():
    router = Router("dc", Random(1))
    endpoints = [Endpoint(f"e{n}", "", "dc") for n in range(8)]
    router.configure({"s": endpoints})
    for endpoint in endpoints:
        router.on_link_up(endpoint.name, "first", False, Load())
    budget = RetryBudget(NOW)
    sent = 0
    for number in range(24):
        now = NOW + number
        call = Call(
            f"r{number}", "s", "c", "POST", "/", "", b"same", now + 10, now + 9, key=""
        )  # fmt: skip
        attempt_ids = AttemptIdAllocator("entry@1")
        request = RequestCore(
            call, False, router, attempt_ids, budget, RaisingMonitor()
        )
        effects = request.start(now)
        while execute := execute_messages(effects):
            sent += 1
            failed = Failed(execute[0].message.attempt, Reason.ENDPOINT_FAILED)
            effects = request.on_message(failed, now)
    assert sent <= 3 + 3
