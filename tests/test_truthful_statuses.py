"""Engines that run a request, and whose status callers then take as "not run"."""

from itertools import count

import pytest

from cyclamenyoke.cli.explain import LogLine, explain
from cyclamenyoke.core.gateway_config import RetryMode
from cyclamenyoke.core.invariants import CountingMonitor, Invariant
from cyclamenyoke.core.request_delivery import AttemptOutcome, RequestDelivery
from cyclamenyoke.daemon.caller_response import CallerResponse
from cyclamenyoke.platform.caller_handlers import STATUS_BY_REASON
from cyclamenyoke.platform.statuses import NOT_RUN_STATUSES
from cyclamenyoke.ports.engine import EngineResponseHead
from cyclamenyoke.ports.response_writer import ResponseWriter
from site_fixture import configuration, route
from test_faulty_engines import SIGNED, Reply, event, refuse, site_with
from test_unsigned_answers import done, reply_of, reply_well, send

IMPLYING_NOT_RUN = [408, 429, 503]
ONCE_ONLY = {"/order/a": "app", "/single/a": "llm"}
REPEATABLE = {"/lookup/a": "app", "/stream/a": "llm"}
STREAM = "Content-Type: text/event-stream"


def fail_after_running(status: int, *fields: str, body=b"failed", framing="length"):
    """Return the script of an engine that runs requests and signs a failure."""
    return reply_of(status, *SIGNED, *fields, body=body, framing=framing)


def assert_promises_nothing(response) -> None:
    assert response.status == 502
    assert "x-response-signature" not in response.headers
    assert "retry-after" not in response.headers
    assert response.body == b""


# Guards against an order that ran being answered as if it had not: it is sent again.
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize(
    ("fields", "body"),
    [
        ((), b"failed"),
        ((), b""),
        (("Retry-After: 1",), b"failed"),
        ((STREAM,), event(1) + event(2)),
    ],
)
@pytest.mark.parametrize("path", ONCE_ONLY)
@pytest.mark.parametrize("status", IMPLYING_NOT_RUN)
async def test_request_that_ran_is_not_answered_as_if_it_had_not(
    status, path, fields, body, framing
):
    reply = fail_after_running(status, *fields, body=body, framing=framing)
    async with site_with(ONCE_ONLY[path], reply, reply) as (site, engines):
        assert_promises_nothing(await send(site, path))
        assert sum(len(each.ran) for each in engines) == 1


# Guards against a true refusal by one engine that covers the run at the next one.
@pytest.mark.parametrize("service", ["app", "llm"])
@pytest.mark.parametrize("status", IMPLYING_NOT_RUN)
async def test_run_after_a_true_refusal_is_not_answered_as_not_run(status, service):
    numbers = count(1)

    def reply(headers, number):
        if next(numbers) == 1:
            return Reply(refuse(headers), runs=False)
        return fail_after_running(status)(headers, number)

    kind = "unsafe" if service == "app" else "streaming"
    config = configuration(2)
    config["routes"].append(route("again", kind, service))
    async with site_with(service, reply, reply) as (site, engines):
        site.publish(config)
        await site.notify_watches()
        cluster_state = site.gateways[0][0]._cluster_state
        await site.wait_until(lambda: cluster_state.config_version == 2)
        assert_promises_nothing(await send(site, "/again/a"))
        assert sum(each.requests for each in engines) == 2


# Guards against an interim response that is taken for the engine's confirmation.
@pytest.mark.parametrize("status", IMPLYING_NOT_RUN)
async def test_interim_response_does_not_confirm_that_an_order_has_not_run(status):
    def reply(headers, number):
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n"
        failure = fail_after_running(status)(headers, number)
        return Reply(interim + failure.data)

    async with site_with("app", reply) as (site, _):
        assert_promises_nothing(await send(site, "/order/a"))


# Guards against a true refusal being hidden from callers that may come back.
@pytest.mark.parametrize("path", ONCE_ONLY)
async def test_confirmed_refusal_is_still_answered_as_not_run(path):
    def reply(headers, number):
        return Reply(refuse(headers), runs=False)

    async with site_with(ONCE_ONLY[path], reply) as (site, _):
        response = await send(site, path)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0


# Guards against the engine's own words being withheld from callers whose request may
# run again, so that the status puts nothing at risk.
@pytest.mark.parametrize("path", REPEATABLE)
@pytest.mark.parametrize("status", IMPLYING_NOT_RUN)
async def test_repeatable_request_gets_its_engines_response_unchanged(status, path):
    reply = fail_after_running(status, "Retry-After: 1", body=b"own words")
    async with site_with(REPEATABLE[path], reply, reply) as (site, _):
        response = await send(site, path)
        assert (response.status, response.body) == (status, b"own words")
        assert response.headers["x-response-signature"] == "s"
        assert response.headers["retry-after"] == "1"


# Guards against a rest of the response that is read as the next one.
async def test_connection_of_a_withheld_response_is_used_again():
    def reply(headers, number):
        if number == 1:
            return fail_after_running(503)(headers, number)
        return reply_well(headers, number)

    async with site_with("app", reply) as (site, [engine]):
        assert (await send(site, "/order/a")).status == 502
        assert (await send(site, "/order/a")).body == b"answer"
        assert engine.connections == 1


# Guards against an engine that fails orders being chosen on and on.
@pytest.mark.parametrize("status", IMPLYING_NOT_RUN)
async def test_engine_that_fails_orders_so_is_ejected(status):
    replies = [fail_after_running(status)] + [reply_well] * 3
    async with site_with("app", *replies) as (site, engines):
        for _ in range(60):
            await send(site, "/order/a")
        assert engines[0].requests < 10


# Guards against a failure whose log tells only one of the two statuses.
async def test_log_tells_the_engines_status_from_the_callers(lines):
    async with site_with("app", fail_after_running(429)) as (site, _):
        await send(site, "/order/a", request_id="0abc")
        metrics = site.gateways[0][0]._metrics
        labels = {"status": "429", "signed": "yes"}
        assert metrics.counter("endpoint_statuses", **labels) == 1
    line = done(lines)
    assert (line["outcome"], line["status"]) == ("unknown", None)
    assert line["caller_status"] == 502
    timeline = explain("0abc", [LogLine(0.0, "", line["message"], line)])
    text = " ".join(each.what for each in timeline)
    assert "status 429" in text and "caller_status 502" in text


# Guards against a rejection whose status promises more than its reason.
def test_reasons_that_leave_the_outcome_open_have_no_status_that_implies_not_run():
    open_ones = {
        reason
        for reason, status in STATUS_BY_REASON.items()
        if status not in NOT_RUN_STATUSES and status >= 500
    }
    assert {reason.value for reason in open_ones} == {"unknown", "timed_out"}


class RecordedResponse(ResponseWriter):
    """Keeps the status of a response."""

    status = None
    unsent_bytes = 0

    def reject(self, reason, retry_after=None):
        self.status = STATUS_BY_REASON[reason]

    def send(self, status, headers, body):
        self.status = status

    def start(self, status, headers):
        self.status = status

    async def write(self, data):
        pass

    def finish(self):
        pass

    def abort(self):
        pass


# Guards against a path to the caller that forgets to check the status.
@pytest.mark.parametrize("outcome", AttemptOutcome)
def test_status_that_the_attempts_do_not_justify_is_replaced(outcome):
    violations = []
    monitor = CountingMonitor(lambda invariant, _: violations.append(invariant))
    delivery = RequestDelivery("r-1", RetryMode.NEVER, 3, 5.0, monitor)
    delivery.start_attempt("i-1", 0, 1.0).outcome = outcome
    writer = RecordedResponse()
    head = EngineResponseHead(503, [], False, False, implies_not_run=True)
    CallerResponse(writer, delivery, monitor).send(head, b"")
    is_true = outcome.value in {"not_sent", "rejected", "broken_group", "misdirected"}
    assert writer.status == (503 if is_true else 502)
    assert violations == ([] if is_true else [Invariant.TRUTHFUL_REJECTION])
