"""Checks of the soak of real processes, on events written by hand."""

import pytest

from process_soak.denial_rules import count_denied
from process_soak.observations import Observations
from process_soak.record import FOREVER, Event
from process_soak.rules import check
from process_soak.site import Bounds

BOUNDS = Bounds()
SERVICES = {"safe": "app", "unsafe": "app", "streaming": "llm"}


def sent(at, id_="r", kind="safe", gateway="g1", deadline=None, **fields):
    fields.setdefault("service", SERVICES[kind])
    deadline = at + 8.0 if deadline is None else deadline
    fields |= {"request": id_, "kind": kind, "gateway": gateway, "deadline": deadline}
    return Event(at, "sent", process="c", **fields)


def ended(at, id_="r", result="answered", status=0, signer="", detail=""):
    fields = {"status": status, "signer": signer, "detail": detail}
    return Event(at, "ended", process="c", request=id_, result=result, **fields)


def arrived(at, id_="r", engine="e1", service="app", result="run", **fields):
    fields |= {"request": id_, "service": service, "result": result}
    fields.setdefault("deadline", at + 1.0)
    return Event(at, "arrived", process=engine, **fields)


def began(at, id_="r", engine="e1", service="app", until=0.0):
    fields = {"request": id_, "service": service, "until": until}
    return Event(at, "began", process=engine, **fields)


def wrote(at, id_="r", engine="e1"):
    """Return the first event of a stream that an engine writes."""
    return Event(at, "wrote", process=engine, request=id_)


def left(at, id_="r", engine="e1", result="answered"):
    return Event(at, "left", process=engine, request=id_, result=result)


def run(at, id_="r", engine="e1", service="app", until=0.0):
    """Return the events of a request that an engine runs."""
    return [
        arrived(at, id_, engine, service),
        began(at, id_, engine, service, until),
    ]


def signal(at, name, gateway="g1", incarnation=1):
    fields = {"result": name, "incarnation": incarnation}
    return Event(at, "signal", process=gateway, **fields)


def started(at, gateway="g1", incarnation=2):
    return Event(at, "started", process=gateway, incarnation=incarnation)


def exited(at, status=0, gateway="g1", incarnation=1):
    fields = {"status": status, "incarnation": incarnation}
    return Event(at, "exited", process=gateway, **fields)


def harmed(at, until, engine="e1"):
    return Event(at, "harmed", process=engine, until=until)


def findings(*events, **bounds):
    """Return the rules that the events break."""
    flat = [each for event in events for each in _flatten(event)]
    flat.sort(key=lambda event: event.at)
    seen = Observations(flat, Bounds(**bounds) if bounds else BOUNDS, {})
    return [text.partition(":")[0] for text in check(seen)]


def _flatten(event):
    return event if isinstance(event, list) else [event]


def repeated(at, count, first=0, result="run"):
    """Return requests that arrive twice each."""
    return [
        each
        for number in range(first, first + count)
        for each in (
            sent(at, f"r{number}"),
            arrived(at, f"r{number}", result=result),
            arrived(at + 0.01, f"r{number}", "e2", result=result),
        )
    ]


def test_more_repeats_than_the_budget_allows_are_found():
    assert findings(repeated(10.0, 51)) == ["BUDGET"]


def test_repeats_up_to_the_budget_are_allowed():
    assert findings(repeated(10.0, 50)) == []


def test_arrivals_that_engines_reject_count_in_the_budget():
    assert findings(repeated(10.0, 51, result="refused")) == ["BUDGET"]


def test_repeats_without_any_allowance_are_found():
    bounds = {"retry_ratio": 0.0, "retry_slack": 0.0}
    assert findings(repeated(10.0, 1), **bounds) == ["BUDGET"]


def repeated_late(age):
    """Return 51 requests that arrive again at 30 s, sent some seconds before."""
    return [
        each
        for number in range(51)
        for each in (
            sent(30.0 - age, f"r{number}", deadline=40.0),
            arrived(30.0 - age, f"r{number}"),
            arrived(30.0, f"r{number}", "e2"),
        )
    ]


@pytest.mark.parametrize("age", [0.1, 5.0, 9.9])
def test_requests_of_the_window_before_count_in_the_budget(age):
    earlier = [sent(30.0 - age, f"before{number}") for number in range(4)]
    assert findings(earlier, repeated_late(age)) == []


@pytest.mark.parametrize("age", [10.1, 14.9, 19.9, 21.0])
def test_repeats_are_counted_in_windows_that_end_after_the_last_of_them(age):
    earlier = [sent(30.0 - age, f"before{number}") for number in range(4)]
    assert findings(earlier, repeated_late(age)) == ["BUDGET"]


def test_a_request_that_its_caller_sends_again_is_a_new_one():
    requests = [
        each
        for number in range(100)
        for each in (sent(10.0, f"r{number}"), arrived(10.0, f"r{number}"))
    ]
    assert findings(requests) == []


def on_too_many_engines(count):
    return [
        each
        for number in range(count)
        for each in [
            sent(10.0, f"r{number}"),
            *run(10.1, f"r{number}", "e1"),
            *run(10.2, f"r{number}", "e2"),
            *run(10.3, f"r{number}", "e3"),
            ended(11.0, f"r{number}", status=502),
        ]
    ]


def test_requests_that_run_on_more_engines_than_their_route_allows_are_found():
    assert findings(on_too_many_engines(4)) == ["BUDGET"]


def test_a_few_requests_may_run_on_more_engines():
    assert findings(on_too_many_engines(3)) == []


def test_engines_that_ended_meanwhile_do_not_count_as_attempts():
    assert findings(harmed(10.2, FOREVER), on_too_many_engines(4)) == []


def test_an_order_that_runs_twice_is_found():
    assert findings(sent(1.0, kind="unsafe"), run(1.1), run(1.2, engine="e2")) == [
        "TWICE"
    ]


def test_an_order_that_is_sent_again_before_an_engine_began_is_allowed():
    events = sent(1.0, kind="unsafe"), arrived(1.1), run(1.2, engine="e2")
    assert findings(*events) == []


def test_a_lookup_may_run_twice():
    assert findings(sent(1.0), run(1.1), run(1.2, engine="e2")) == []


def test_a_refused_order_that_runs_later_is_found():
    events = sent(1.0, kind="unsafe"), ended(1.1, status=503), run(1.5)
    assert findings(*events) == ["REFUSED"]


def test_a_refused_order_that_an_engine_rejected_is_allowed():
    rejected = arrived(1.1, result="refused", status=503)
    assert findings(sent(1.0, kind="unsafe"), rejected, ended(1.2, status=503)) == []


def test_a_failed_order_may_have_run():
    assert findings(sent(1.0, kind="unsafe"), run(1.1), ended(1.2, status=502)) == []


def test_a_request_that_another_service_runs_is_found():
    assert findings(sent(1.0), run(1.1, service="llm")) == ["ROUTE"]


def test_a_request_that_nobody_sent_is_found():
    assert findings(arrived(1.0)) == ["UNASKED"]


def test_an_answer_of_an_engine_is_allowed():
    answer = ended(1.2, status=200, signer="e1")
    assert findings(sent(1.0), run(1.1), left(1.2), answer) == []


def test_a_success_that_no_engine_signed_is_found():
    answer = ended(1.2, status=200)
    assert findings(sent(1.0), run(1.1), left(1.2), answer) == ["MIXED"]


def test_a_success_in_place_of_a_failure_is_found():
    answer = ended(1.2, status=200, signer="e1")
    failure = left(1.2, result="failed")
    assert findings(sent(1.0), run(1.1), failure, answer) == ["MIXED"]


def test_a_signed_failure_with_another_status_is_found():
    answer = ended(1.2, status=502, signer="e1")
    failure = left(1.2, result="failed")
    assert findings(sent(1.0), run(1.1), failure, answer) == ["MIXED"]


def test_a_signed_failure_with_the_status_of_the_engine_is_allowed():
    answer = ended(1.2, status=500, signer="e1")
    failure = left(1.2, result="failed")
    assert findings(sent(1.0), run(1.1), failure, answer) == []


def test_an_answer_of_an_engine_that_was_killed_after_it_is_allowed():
    answer = ended(1.2, status=200, signer="e1")
    assert findings(sent(1.0), run(1.1), harmed(1.15, FOREVER), answer) == []


def test_an_answer_that_belongs_to_another_request_is_found():
    assert findings(sent(1.0), run(1.1), ended(1.2, result="mixed")) == ["MIXED"]


def test_a_stream_with_a_repeated_event_is_found():
    stream = sent(1.0, kind="streaming"), run(1.1, service="llm")
    assert findings(*stream, ended(1.2, result="disordered")) == ["ORDER"]


def lost(at, count=1, gateway="g1", **fields):
    """Return requests of kept connections that are cut while an engine works."""
    return [
        each
        for number in range(count)
        for each in [
            sent(at, f"l{number}", gateway=gateway, use=1, **fields),
            *run(at + 0.01, f"l{number}"),
            ended(at + 0.02, f"l{number}", "cut"),
            left(at + 0.03, f"l{number}", result="dropped"),
        ]
    ]


def test_requests_of_kept_connections_that_are_cut_at_any_time_are_found():
    assert findings(lost(10.0, 4)) == ["LOST"]


def test_a_few_requests_of_kept_connections_may_be_cut():
    assert findings(lost(10.0, 3)) == []


def test_requests_that_are_cut_long_after_a_stop_are_found():
    stop = signal(1.0, "SIGTERM"), exited(4.0), started(4.5)
    assert findings(*stop, lost(20.0, 4)) == ["LOST"]


def test_requests_that_are_cut_after_a_kill_or_in_a_freeze_are_allowed():
    kill = signal(9.0, "SIGKILL"), exited(9.0, -9), started(9.5)
    freeze = signal(2.0, "SIGSTOP"), signal(9.0, "SIGCONT")
    assert findings(*kill, lost(12.0, 4)) == []
    assert findings(*freeze, lost(5.5, 4)) == []
    assert findings(*freeze, lost(11.9, 4)) == []
    assert findings(*freeze, lost(12.1, 4)) == ["LOST"]


def test_a_start_by_the_platform_after_a_kill_is_a_disruption():
    kill = signal(1.0, "SIGKILL"), exited(1.0, -9), started(8.0)
    assert findings(*kill, lost(10.5, 4)) == []
    assert findings(*kill, lost(11.5, 4)) == ["LOST"]


def test_a_process_that_ends_by_itself_counts_as_running():
    events = exited(10.05, 1), started(10.5)
    assert findings(*events, lost(10.0, 4)) == ["LOST", "ENDED"]


def test_a_cut_in_a_planned_stop_is_found():
    events = findings(signal(9.9, "SIGTERM"), lost(10.0))
    assert events == ["LOST"]


def test_a_request_that_an_engine_rejected_was_passed_on():
    rejected = arrived(10.01, result="refused", status=503)
    cut = sent(10.0), rejected, ended(10.05, result="cut")
    assert findings(signal(9.9, "SIGTERM"), *cut) == ["LOST"]


def test_a_request_that_crosses_the_close_of_a_planned_stop_is_allowed():
    cut = sent(10.0), ended(10.1, result="cut")
    assert findings(signal(9.9, "SIGTERM"), *cut) == []


def test_a_request_that_is_cut_unsent_after_the_slack_is_found():
    cut = sent(10.0), ended(10.3, result="cut")
    assert findings(signal(9.9, "SIGTERM"), *cut) == ["LOST"]


def test_a_request_whose_deadline_is_reached_may_end_in_a_planned_stop():
    assert findings(signal(9.9, "SIGTERM"), lost(10.0, deadline=10.02)) == []


def test_a_request_whose_engine_broke_off_may_end_in_a_planned_stop():
    reset = left(10.01, result="reset")
    cut = sent(10.0), run(10.0), reset, ended(10.4, result="cut")
    assert findings(signal(9.9, "SIGTERM"), *cut) == []


def test_a_request_whose_engine_was_killed_may_end_in_a_planned_stop():
    kill = harmed(10.1, FOREVER)
    cut = sent(10.0), run(10.0), kill, ended(10.4, result="cut")
    assert findings(signal(9.9, "SIGTERM"), *cut) == []


def test_a_cut_is_not_excused_by_an_engine_that_broke_off_before():
    reset = left(10.01, result="reset")
    again = run(10.1, engine="e2"), ended(10.4, result="cut")
    cut = sent(10.0), run(10.0), reset, *again
    assert findings(signal(9.9, "SIGTERM"), *cut) == ["LOST"]


def cut_late(sent_at, ended_at, left_at):
    return [
        sent(sent_at, kind="streaming", deadline=30.0),
        *run(sent_at, service="llm"),
        wrote(sent_at + 0.1),
        ended(ended_at, result="cut"),
        left(left_at, result="dropped"),
    ]


def test_a_request_at_work_may_be_cut_in_the_last_sixth_of_the_grace():
    assert findings(signal(10.0, "SIGTERM"), cut_late(12.9, 16.7, 16.7)) == []


def test_a_request_that_is_cut_before_the_last_sixth_of_the_grace_is_found():
    assert findings(signal(10.0, "SIGTERM"), cut_late(12.9, 16.6, 16.6)) == ["LOST"]


def test_a_late_request_that_is_cut_at_the_end_of_the_grace_is_found():
    assert findings(signal(10.0, "SIGTERM"), cut_late(13.1, 17.2, 17.2)) == ["LOST"]


def test_a_finished_request_that_is_cut_at_the_end_of_the_grace_is_found():
    assert findings(signal(10.0, "SIGTERM"), cut_late(12.9, 17.2, 16.0)) == ["LOST"]


def cut_unbegun(*events):
    """Return a stream that an engine holds and that is cut at the end of the grace."""
    kept = sent(12.0, kind="streaming", deadline=30.0), arrived(12.0, service="llm")
    cut = ended(17.2, result="cut"), left(17.2, result="dropped")
    return findings(signal(10.0, "SIGTERM"), *kept, *events, *cut)


def test_a_stream_in_the_queue_of_its_engine_is_not_at_work_at_the_end_of_the_grace():
    assert cut_unbegun() == ["LOST"]


def test_a_stream_without_an_event_is_not_at_work_at_the_end_of_the_grace():
    assert cut_unbegun(began(12.1, service="llm")) == ["LOST"]
    assert cut_unbegun(began(12.1, service="llm"), wrote(17.3)) == ["LOST"]


def test_a_stream_that_begins_in_the_last_sixth_of_the_grace_is_at_work():
    assert cut_unbegun(began(12.1, service="llm"), wrote(17.1)) == []


def test_a_lookup_without_an_answer_is_at_work_once_its_engine_began():
    kept = sent(12.9, deadline=30.0), arrived(12.9)
    cut = ended(16.7, result="cut"), left(16.7, result="dropped")
    stop = signal(9.9, "SIGTERM")
    bounds = {"plain_timeouts": (8.0,)}
    assert findings(stop, *kept, began(13.0), *cut, **bounds) == []
    assert findings(stop, *kept, *cut, **bounds) == ["LOST"]


def moved(moved_at, *events):
    """Return a stream that goes to a second engine and is cut at the end of the grace.

    The first, which had begun, notices that it was given up when it runs again.
    """
    first = [*run(12.0, service="llm"), wrote(12.1), left(17.3, result="dropped")]
    second = [arrived(moved_at, engine="e2", service="llm"), *events]
    cut = sent(12.0, kind="streaming", deadline=30.0), ended(17.2, result="cut")
    return findings(signal(10.0, "SIGTERM"), first, second, *cut)


def test_an_engine_that_was_given_up_for_its_silence_is_not_at_work():
    dropped = left(15.0, result="dropped")
    assert moved(15.0, dropped) == ["LOST"]
    assert moved(15.0, harmed(14.0, 17.25)) == ["LOST"]


def test_a_silent_engine_whose_connection_stays_open_beside_another_is_at_work():
    assert moved(15.0) == []


def test_an_engine_that_was_given_up_in_the_last_sixth_of_the_grace_was_at_work():
    assert moved(16.9) == []


def test_an_engine_that_goes_on_with_a_stream_that_was_moved_is_at_work():
    again = began(15.0, engine="e2", service="llm"), wrote(15.1, engine="e2")
    assert moved(15.0, *again) == []


def test_a_request_that_a_frozen_engine_reads_late_does_not_end_work_elsewhere():
    again = began(15.0, engine="e2", service="llm"), wrote(15.1, engine="e2")
    late = arrived(16.0, service="llm")
    assert moved(15.0, *again, late, harmed(14.0, 16.0)) == []


def test_a_cut_that_its_caller_sees_after_the_next_stop_belongs_to_its_own_stop():
    stops = signal(10.0, "SIGTERM"), exited(17.3), started(17.8)
    again = signal(18.0, "SIGTERM", incarnation=2)
    assert findings(*stops, again, cut_late(12.0, 18.4, 17.2)) == []


def test_a_cut_by_the_kill_at_the_end_of_the_grace_is_found():
    stop = signal(10.0, "SIGTERM"), signal(18.0, "SIGKILL")
    assert findings(*stop, cut_late(14.0, 18.0, 18.0)) == ["LOST"]


def test_a_cut_by_a_kill_within_the_grace_is_allowed():
    stop = signal(10.0, "SIGTERM"), signal(17.0, "SIGKILL")
    assert findings(*stop, cut_late(14.0, 17.0, 17.0)) == []


def test_a_cut_after_a_reload_is_found():
    assert findings(signal(9.0, "SIGHUP"), lost(10.9)) == ["LOST"]
    assert findings(signal(9.0, "SIGHUP"), lost(11.1)) == []


def test_a_process_that_ends_without_a_signal_is_found():
    assert findings(exited(5.0, 0)) == ["ENDED"]
    assert findings(exited(5.0, 1)) == ["ENDED"]


def test_a_process_that_ends_by_its_stop_or_a_kill_is_allowed():
    assert findings(signal(1.0, "SIGTERM"), exited(5.0, 0)) == []
    assert findings(signal(1.0, "SIGKILL"), exited(1.0, -9)) == []


def test_a_process_that_a_signal_ends_after_it_had_callers_is_found():
    served = answered(4.0, 1)
    stop = started(1.0), signal(5.0, "SIGTERM"), exited(5.0, -15)
    assert findings(*served, *stop) == ["ENDED"]


def test_a_process_that_a_stop_ends_before_it_had_callers_is_allowed():
    stop = started(4.95), signal(5.0, "SIGTERM"), exited(5.0, -15)
    assert findings(*stop) == []


def test_a_process_that_a_stop_ends_by_its_signal_later_is_found():
    stop = started(1.0), signal(5.0, "SIGTERM"), exited(5.0, -15)
    assert findings(*stop) == ["ENDED"]


def test_a_process_that_a_reload_ends_is_found():
    reload = started(4.95), signal(5.0, "SIGHUP"), exited(5.0, -1)
    assert findings(*reload) == ["ENDED"]


def test_a_request_whose_timeout_is_reached_may_end_in_a_planned_stop():
    cut = sent(10.0, deadline=30.0), run(10.0), ended(11.6, result="cut")
    assert findings(signal(9.9, "SIGTERM"), *cut) == []


def configured(at, extra=0, until=None, **fields):
    """Return a version that allows bodies of 10,000 bytes, unless another is given."""
    fields = {"head_bytes": 4096, "body_bytes": 10_000} | fields
    return Event(at, "configured", use=extra, until=until or at + 0.01, **fields)


def answered(at, count, first=0):
    """Return requests that are answered."""
    return [
        each
        for number in range(first, first + count)
        for each in [
            sent(at, f"a{number}"),
            *run(at, f"a{number}"),
            left(at + 0.02, f"a{number}"),
            ended(at + 0.02, f"a{number}", status=200, signer="e1"),
        ]
    ]


def test_cuts_while_a_configuration_is_applied_are_found():
    assert findings(configured(10.0), lost(10.1), answered(20.0, 9)) == ["LOST"]


def test_cuts_that_are_as_frequent_without_a_configuration_are_allowed():
    cut = sent(20.0, "other"), run(20.0, "other"), ended(20.02, "other", "cut")
    assert findings(configured(10.0), lost(10.1), answered(10.5, 9), *cut) == []


def test_a_cut_late_in_the_time_of_a_request_beside_a_configuration_is_allowed():
    cut = sent(10.0), run(10.0), ended(11.06, result="cut")
    assert findings(configured(10.5), *cut) == []


def handed(count, deadline):
    """Return requests whose engine is told a deadline; their callers wait until 13."""
    return [
        each
        for number in range(count)
        for each in (
            sent(10.0, f"r{number}", deadline=13.0),
            arrived(10.1, f"r{number}", deadline=deadline),
        )
    ]


@pytest.mark.parametrize("deadline", [0.0, 13.7])
def test_engines_that_are_handed_too_much_time_or_none_stated_are_found(deadline):
    assert findings(handed(21, deadline)) == ["BUDGET"]


@pytest.mark.parametrize(("count", "deadline"), [(20, 0.0), (30, 13.5)])
def test_engines_that_are_handed_the_time_that_is_left_are_allowed(count, deadline):
    assert findings(handed(count, deadline)) == []


def handed_again(count, deadline, first=0):
    """Return requests that arrive again 0.8 s after the first time."""
    return [
        each
        for number in range(first, first + count)
        for each in (
            sent(10.0, f"r{number}", deadline=13.0),
            arrived(10.1, f"r{number}", deadline=13.0),
            arrived(10.9, f"r{number}", "e2", deadline=deadline),
        )
    ]


def test_repeats_whose_deadline_begins_anew_are_found():
    events = handed_again(21, 13.8)
    assert findings(events, retry_slack=100.0) == ["BUDGET"]


def test_a_first_copy_that_a_frozen_engine_reads_late_keeps_its_deadline():
    frozen = harmed(9.9, 10.9, "e2")
    assert findings(frozen, handed_again(30, 14.0)) == []


def test_repeats_that_keep_the_deadline_are_allowed():
    assert findings(handed_again(21, 13.0), retry_slack=100.0) == []


def test_wrong_deadlines_of_a_fifth_of_the_repeats_are_allowed():
    events = handed_again(21, 13.8), handed_again(84, 13.0, 21)
    assert findings(*events, retry_slack=200.0) == []


def gone(count, left_at, until=20.0, kind="safe", at=10.0):
    """Return requests whose callers leave half a second after they were sent."""
    return [
        each
        for number in range(count)
        for each in [
            sent(at, f"g{number}", kind=kind),
            *run(at, f"g{number}", service=SERVICES[kind], until=until),
            ended(at + 0.5, f"g{number}", "left"),
            left(left_at, f"g{number}", result="dropped"),
        ]
    ]


def test_engines_at_work_for_callers_that_have_gone_are_found():
    assert findings(gone(4, 11.1)) == ["GONE"]


def test_engines_that_stop_work_when_callers_leave_are_allowed():
    assert findings(gone(4, 10.9)) == []


def test_work_that_would_have_ended_does_not_count_as_stopped_late():
    assert findings(gone(4, 11.1, until=10.9)) == []


def test_work_on_orders_may_go_on_when_callers_leave():
    assert findings(gone(4, 11.1, kind="unsafe")) == []


def test_work_at_gateways_out_of_touch_may_go_on_when_callers_leave():
    assert findings(signal(10.6, "SIGTERM"), gone(4, 11.1)) == []


def arrived_after_close(count, at):
    return [
        each
        for number in range(count)
        for each in (
            sent(10.0, f"g{number}"),
            ended(10.5, f"g{number}", "gave_up"),
            arrived(at, f"g{number}"),
        )
    ]


def test_requests_that_reach_engines_after_their_callers_have_gone_are_found():
    assert findings(arrived_after_close(4, 11.1)) == ["GONE"]


@pytest.mark.parametrize(("count", "at"), [(3, 11.1), (9, 10.9)])
def test_a_few_requests_or_prompt_ones_may_reach_engines_after_a_close(count, at):
    assert findings(arrived_after_close(count, at)) == []


def leaving(at, engine="e1"):
    return Event(at, "leaving", process=engine)


def test_a_request_that_reaches_an_engine_long_after_it_leaves_is_found():
    assert findings(leaving(7.9), sent(10.0), arrived(10.0)) == ["DRAIN"]


def test_a_request_may_reach_an_engine_until_the_bound_of_a_drain():
    assert findings(leaving(8.1), sent(10.0), arrived(10.0)) == []


def test_a_misdirected_request_may_reach_an_engine_that_has_left():
    misdirected = arrived(10.0, result="refused", status=421)
    assert findings(leaving(1.0), sent(10.0), misdirected) == []


def test_a_drain_while_the_store_is_disturbed_binds_nobody():
    store = Event(6.0, "store", until=8.0)
    assert findings(leaving(7.0), store, sent(10.0), arrived(10.0)) == []


def asked(at, status=200, gateway="g1", memory=0, result=""):
    fields = {"status": status, "memory": memory, "result": result}
    return Event(at, "asked", process=gateway, **fields)


def asked_in_vain(at):
    return asked(at, 0, result="unanswered")


def stopped(gateway, statuses):
    """Return a stop at 10 s, and the readiness at each second from 9 s on."""
    questions = [
        asked(9.1 + number, status, gateway) for number, status in enumerate(statuses)
    ]
    return [signal(10.0, "SIGTERM", gateway), *questions]


def test_gateways_that_are_ready_long_after_their_stop_are_found():
    ready = [200] * 6
    assert findings(stopped("g1", ready), stopped("g2", ready)) == ["DRAIN"]


def test_gateways_that_are_not_ready_after_their_stop_are_allowed():
    leaves = [200, 200, 200, 503, 503, 503]
    assert findings(stopped("g1", leaves), stopped("g2", leaves)) == []


def test_one_gateway_may_be_ready_after_its_stop():
    assert findings(stopped("g1", [200] * 6)) == []


def test_gateways_that_have_ended_are_not_ready():
    events = [stopped(name, [200] * 6) for name in ("g1", "g2")]
    ends = [exited(13.0, gateway=name) for name in ("g1", "g2")]
    assert findings(*events, *ends) == []


def probed(at, route, status, id_="p", is_run=True):
    """Return a request on a route that versions add and remove."""
    answer = ended(at + 0.02, id_, status=status, signer="e1" if is_run else "")
    request = [sent(at, id_, detail=route), answer]
    return [*request, *run(at, id_), left(at + 0.01, id_)] if is_run else request


def test_a_route_that_was_dropped_and_is_served_is_found():
    versions = configured(1.0, 9), configured(5.0, 4)
    assert findings(*versions, probed(7.1, "more4", 200)) == ["CONFIG"]


def test_a_route_that_was_just_dropped_may_be_served():
    versions = configured(1.0, 9), configured(5.0, 4)
    assert findings(*versions, probed(6.9, "more4", 200)) == []


def test_a_route_that_was_added_and_is_not_found_is_found():
    versions = configured(1.0, 4), configured(5.0, 9)
    refused = probed(7.1, "more4", 404, is_run=False)
    assert findings(*versions, refused) == ["CONFIG"]


def test_a_route_that_a_version_in_transit_drops_may_be_refused():
    versions = configured(1.0, 9), configured(6.9, 4)
    refused = probed(7.1, "more4", 404, is_run=False)
    assert findings(*versions, refused) == []


def test_a_gateway_that_goes_back_to_an_older_version_is_found():
    versions = configured(1.0, 0), configured(10.0, 9)
    served = probed(10.1, "more3", 200)
    refused = probed(10.5, "more3", 404, "q", is_run=False)
    assert findings(*versions, served, refused) == ["CONFIG"]


def test_a_gateway_that_starts_again_may_begin_with_an_older_version():
    versions = configured(1.0, 0), configured(10.0, 9)
    served = probed(10.1, "more3", 200)
    refused = probed(10.5, "more3", 404, "q", is_run=False)
    assert findings(*versions, served, started(10.3), refused) == []


def test_a_newer_version_that_drops_a_route_is_no_way_back():
    versions = configured(1.0, 0), configured(10.0, 9), configured(10.2, 0)
    served = probed(10.1, "more3", 200)
    refused = probed(10.5, "more3", 404, "q", is_run=False)
    assert findings(*versions, served, refused) == []


def test_later_routes_that_are_served_less_often_are_found():
    probes = [
        probed(20.0, "more1", 503, f"p{number}", is_run=False) for number in range(20)
    ]
    assert findings(configured(1.0, 9), answered(20.0, 9), *probes) == ["CONFIG"]


def test_later_routes_that_are_served_as_often_are_allowed():
    probes = [probed(20.0, "more1", 200, f"p{number}") for number in range(20)]
    assert findings(configured(1.0, 9), answered(20.0, 9), *probes) == []


def unanswered(count, ends_at, result="gave_up", first=0, status=0):
    """Return lookups, whose route times out 1.5 s after 10 s."""
    return [
        each
        for number in range(first, first + count)
        for each in (
            sent(10.0, f"t{number}", deadline=12.5),
            ended(ends_at, f"t{number}", result, status),
        )
    ]


def test_requests_without_an_answer_after_the_timeout_of_their_route_are_found():
    assert findings(unanswered(1, 12.5)) == ["CONFIG"]
    assert findings(unanswered(8, 12.5)) == ["CONFIG", "CONFIG"]


def test_requests_that_are_answered_soon_after_the_timeout_are_allowed():
    late = unanswered(8, 11.9, "answered", status=504)
    assert findings(late) == []


def test_eight_requests_without_an_answer_among_many_are_found():
    late = unanswered(10, 11.9, "answered", first=8, status=504)
    assert findings(unanswered(8, 12.5), late) == ["CONFIG"]
    assert findings(unanswered(7, 12.5), late) == []


def denied(count, at=10.0):
    return [
        each
        for number in range(count)
        for each in (sent(at, f"d{number}"), ended(at, f"d{number}", status=400))
    ]


def test_proper_requests_that_are_refused_for_good_are_found():
    assert findings(denied(6)) == ["DENIED"]


def test_a_few_requests_may_be_refused_for_good():
    assert findings(denied(5)) == []


def test_gateways_without_a_configuration_that_deny_requests_are_found():
    starts = signal(8.0, "SIGKILL"), started(9.0)
    refused = [
        each
        for number in range(11)
        for each in (sent(10.0, f"d{number}"), ended(10.0, f"d{number}", status=404))
    ]
    assert findings(*starts, refused) == ["DENIED"]


def variants(count, at, status, name="v", **fields):
    """Return requests that only some versions allow, and that are refused."""
    return [
        each
        for number in range(count)
        for each in (
            sent(at, f"{name}{number}", **fields),
            ended(at + 0.1, f"{name}{number}", status=status),
        )
    ]


LARGE = {"body_bytes": 9000}


def test_sizes_that_all_versions_in_force_allow_and_that_are_refused_are_found():
    versions = configured(1.0, body_bytes=100), configured(5.0)
    assert findings(*versions, variants(6, 7.1, 413, **LARGE)) == ["DENIED"]
    assert findings(*versions, variants(5, 7.1, 413, **LARGE)) == []


def test_sizes_that_a_version_which_may_be_in_force_forbids_may_be_refused():
    versions = configured(1.0), configured(5.0, body_bytes=100), configured(10.0)
    assert findings(*versions, variants(20, 4.5, 413, **LARGE)) == ["DENIED"]
    assert findings(*versions, variants(20, 4.95, 413, **LARGE)) == []
    assert findings(*versions, variants(20, 11.9, 413, **LARGE)) == []
    assert findings(*versions, variants(20, 12.1, 413, **LARGE)) == ["DENIED"]


def test_heads_that_all_versions_in_force_allow_and_that_are_refused_are_found():
    refused = variants(6, 7.1, 431, head_bytes=3500)
    assert findings(configured(1.0), refused) == ["DENIED"]
    assert findings(configured(1.0, head_bytes=2048), refused) == []


def test_keys_that_all_versions_in_force_have_and_that_are_refused_are_found():
    refused = variants(6, 7.1, 401, key=2)
    versions = configured(1.0), configured(5.0, key=2)
    assert findings(*versions, refused) == ["CONFIG"] * 6 + ["DENIED"]
    assert findings(configured(1.0), configured(5.0, key=1), refused) == []


def test_routes_that_all_versions_in_force_have_and_that_are_refused_are_found():
    refused = variants(6, 7.1, 404, detail="more4")
    versions = configured(1.0), configured(5.0, 5)
    assert findings(*versions, refused) == ["CONFIG"] * 6 + ["DENIED"]


def test_a_share_of_all_requests_may_be_refused_for_good():
    assert findings(answered(20.0, 494), denied(6, 20.0)) == []
    assert findings(answered(20.0, 493), denied(6, 20.0)) == ["DENIED"]


@pytest.mark.parametrize("status", [408, 421, 429])
def test_refusals_that_say_try_again_are_no_denials(status):
    assert findings(variants(20, 10.0, status)) == []


def test_refusals_that_an_engine_signed_are_no_denials():
    refused = [
        each
        for number in range(20)
        for each in (
            sent(10.0, f"d{number}"),
            *run(10.1, f"d{number}"),
            ended(10.2, f"d{number}", status=400, signer="e1"),
        )
    ]
    rules = findings(refused)
    assert "DENIED" not in rules


def out_of_touch(*events):
    return findings(signal(8.0, "SIGSTOP"), signal(9.0, "SIGCONT"), *events)


def test_what_only_some_versions_allow_may_be_denied_out_of_touch():
    versions = configured(1.0), configured(5.0, 9, key=2)
    assert out_of_touch(*versions, variants(30, 9.5, 401, key=2)) == []
    assert out_of_touch(*versions, variants(30, 9.5, 404, detail="more4")) == []


def test_what_all_versions_allow_and_is_denied_out_of_touch_is_found():
    versions = configured(1.0, 9, key=2), configured(5.0, 9, key=3)
    usual = answered(20.0, 4000)
    refused = variants(11, 9.5, 401, key=2)
    assert out_of_touch(*versions, *usual, refused) == ["DENIED"]
    assert out_of_touch(*versions, *usual, variants(10, 9.5, 401, key=2)) == []


def test_sizes_may_be_refused_out_of_touch():
    assert out_of_touch(configured(1.0), variants(30, 9.5, 413, **LARGE)) == []


def test_a_machine_that_a_store_in_disruption_keeps_out_of_touch_may_deny():
    store = Event(6.0, "store", until=9.0)
    versions = configured(1.0), configured(5.0, key=2)
    assert findings(*versions, store, variants(30, 9.5, 401, key=2)) == []


def test_a_key_that_was_dropped_and_is_served_is_found():
    versions = configured(1.0, key=2), configured(5.0, key=1)
    request = [sent(7.1, key=2), *run(7.1), left(7.2)]
    answer = ended(7.3, status=200, signer="e1")
    assert findings(*versions, *request, answer) == ["CONFIG"]


def test_denials_are_counted_by_status_touch_and_version():
    events = [
        *(configured(1.0), configured(9.9, key=2)),
        *variants(1, 10.5, 401, key=2),
        *denied(2, 10.5),
        *variants(1, 20.0, 401, "w", key=9),
    ]
    seen = Observations(events, BOUNDS, {})
    assert count_denied(seen) == {
        "400 in touch, by all": 2,
        "401 in touch, newest": 1,
    }


def test_a_gateway_that_leaves_two_questions_in_a_row_unanswered_is_found():
    assert findings(asked(9.0), asked_in_vain(10.0), asked_in_vain(11.0)) == ["STALLED"]


def test_a_gateway_may_leave_one_question_asked_in_vain():
    assert findings(asked_in_vain(10.0), asked(11.0), asked_in_vain(12.0)) == []


def test_a_gateway_that_says_that_it_is_not_ready_has_answered():
    assert findings(asked(10.0, 0), asked(11.0, 0), asked(12.0, 0)) == []


def test_a_frozen_gateway_may_leave_questions_asked_in_vain():
    frozen = signal(9.0, "SIGSTOP"), signal(12.0, "SIGCONT")
    assert findings(*frozen, asked_in_vain(10.0), asked_in_vain(11.0)) == []


def test_a_gateway_that_takes_more_memory_than_its_machine_has_is_found():
    assert findings(asked(9.0, memory=223 * 2**20)) == ["MEMORY"]


def test_a_gateway_may_take_the_memory_of_its_machine():
    assert findings(asked(9.0, memory=222 * 2**20)) == []
