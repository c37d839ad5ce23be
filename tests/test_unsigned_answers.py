"""Answers of what is no engine, at the address of one."""

import json
from itertools import product

import pytest

from site_fixture import Response, caller_headers, requests_until, send_request
from test_faulty_engines import (
    SIGNED,
    Reply,
    answer,
    assert_truthful,
    event,
    message,
    resume_with,
    site_with,
)

REFUSALS = [301, 302, 304, 400, 401, 403, 404, 405, 408, 409, 412, 413, 429, 431, 499]
PROMISES = [408, 429, 503]
PLAIN_FAILURES = [500, 501, 502, 504]
ROUTES = {"/lookup/a": "app", "/order/a": "app", "/single/a": "llm", "/stream/a": "llm"}
MAX_ATTEMPTS = {"/lookup/a": 2, "/stream/a": 2, "/order/a": 1, "/single/a": 1}
"""Engines at which a request of each kind of route is tried."""


def reply_of(status: int, *fields: str, body: bytes = b"no", framing: str = "length"):
    """Return the script of an engine that answers all requests with a status.

    :param framing: that of :func:`test_faulty_engines.message`.
    """

    def reply(headers, number):
        content = b"" if status == 304 else body
        data = message(headers, status, content, fields=fields, framing=framing)
        return Reply(data, closes=framing == "close")

    return reply


def reply_well(headers, number) -> Reply:
    return Reply(answer(headers))


async def send(site, path: str, **options) -> Response:
    address = site.gateways[0][1].callers
    headers = caller_headers(**options)
    return await send_request(address, "POST", path, headers, b"{}")


def done(lines: list[dict]) -> dict:
    """Return the line of the only request that is done."""
    [line] = [each for each in lines if each["message"] == "request done"]
    return line


# Guards against another's refusal being passed on as the system's own word.
@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("status", REFUSALS)
async def test_unsigned_refusal_is_not_passed_on(status, path):
    replies = [reply_of(status)] * 3
    async with site_with(ROUTES[path], *replies) as (site, engines):
        response = await send(site, path)
        assert response.status == 502
        assert sum(each.requests for each in engines) == MAX_ATTEMPTS[path]


# Guards against "not run" for a request that was sent.
@pytest.mark.parametrize("fields", [(), ("Retry-After: 1",)])
@pytest.mark.parametrize("path", ["/order/a", "/single/a"])
@pytest.mark.parametrize("status", PROMISES)
async def test_unsigned_promise_is_not_passed_on(status, path, fields):
    replies = [reply_of(status, *fields)] * 2
    async with site_with(ROUTES[path], *replies) as (site, engines):
        response = await send(site, path)
        assert response.status == 502
        assert "retry-after" not in response.headers
        assert sum(each.requests for each in engines) == 1


# Guards against an empty signature that counts as one.
@pytest.mark.parametrize("status", [200, 404, 503])
async def test_response_with_an_empty_signature_is_unsigned(status):
    async with site_with("app", reply_of(status, "X-Response-Signature:")) as (site, _):
        assert (await send(site, "/order/a")).status == 502


# Guards against a status that isn't known being passed on as an answer.
@pytest.mark.parametrize("status", [505, 511, 600, 999])
async def test_unsigned_response_of_an_unknown_status_is_not_passed_on(status):
    async with site_with("app", reply_of(status)) as (site, _):
        assert (await send(site, "/order/a")).status == 502


# Guards against an engine's own answer being replaced.
@pytest.mark.parametrize(
    ("path", "status"),
    [
        *product(["/lookup/a", "/order/a", "/stream/a"], [301, 400, 404, 409, 413]),
        # For orders see test_request_that_ran_is_not_answered_as_if_it_had_not.
        *product(["/lookup/a", "/stream/a"], [429, 503]),
        *product(["/order/a", "/single/a"], [422, 451, 500, 504]),
    ],
)
async def test_signed_refusal_is_passed_on_unchanged(status, path):
    replies = [reply_of(status, *SIGNED, body=b"own words")] * 2
    async with site_with(ROUTES[path], *replies) as (site, _):
        response = await send(site, path)
        assert (response.status, response.body) == (status, b"own words")
        assert response.headers["x-response-signature"] == "s"


# Guards against a failure that promises nothing being replaced.
@pytest.mark.parametrize("status", PLAIN_FAILURES)
async def test_unsigned_failure_without_a_promise_is_passed_on(status):
    async with site_with("app", reply_of(status)) as (site, _):
        response = await send(site, "/order/a")
        assert (response.status, response.body) == (status, b"no")


# Guards against a refusal at one address for a request that another engine serves.
@pytest.mark.parametrize("status", [*REFUSALS, 503])
async def test_lookup_is_repeated_at_a_sound_engine(status):
    async with site_with("app", reply_of(status), reply_well) as (site, engines):
        for _ in requests_until(lambda: engines[0].requests > 0):
            response = await send(site, "/lookup/a")
            assert (response.status, response.body) == (200, b"answer")
        assert engines[0].requests > 0


# Guards against an order that runs twice, since a foreign refusal proves nothing.
@pytest.mark.parametrize("status", [401, 404, 503])
async def test_order_with_an_unsigned_refusal_is_sent_nowhere_else(status):
    async with site_with("app", reply_of(status), reply_well) as (site, engines):
        statuses = []
        while 502 not in statuses and len(statuses) < 20:
            statuses.append((await send(site, "/order/a")).status)
        assert statuses[-1] == 502 and set(statuses) <= {200, 502}
        assert sum(each.requests for each in engines) == len(statuses)


# Guards against a true "not run" that is taken for a broken response.
@pytest.mark.parametrize(
    ("status", "fields"),
    [(421, ()), (421, ("X-Instance-Id: other",)), (503, ("X-Not-Executed: 1",))],
)
async def test_confirmed_rejection_without_a_signature_is_believed(status, fields):
    replies = [reply_of(status, *fields), reply_well]
    async with site_with("app", *replies) as (site, engines):
        for _ in requests_until(lambda: engines[0].requests > 0):
            assert (await send(site, "/lookup/a")).status == 200
            assert (await send(site, "/order/a")).status in {200, 503}
        assert engines[0].requests > 0


# Guards against a refusal, or its text, in the middle of a stream.
@pytest.mark.parametrize("status", [*REFUSALS, 503])
async def test_unsigned_refusal_of_a_resumed_stream_is_not_part_of_it(status):
    response = await resume_with(reply_of(status, body=event(3)))
    assert_truthful(response)
    assert response.body == event(1) + event(2)


# Guards against the rest of a foreign answer being read as the next one.
@pytest.mark.parametrize("status", [301, 404, 503])
async def test_connection_of_an_unsigned_refusal_is_not_used_again(status):
    def reply(headers, number):
        if number == 1:
            return Reply(message(headers, status, b"no"))
        return Reply(answer(headers))

    async with site_with("app", reply) as (site, [engine]):
        assert (await send(site, "/order/a")).status == 502
        assert (await send(site, "/order/a")).status == 200
        assert engine.connections == 2


# Guards against an address that answers so being chosen on and on.
async def test_address_with_unsigned_refusals_is_ejected():
    replies = [reply_of(404)] + [reply_well] * 3
    async with site_with("app", *replies) as (site, engines):
        for _ in range(60):
            assert (await send(site, "/lookup/a")).status == 200
        assert engines[0].requests < 10


# Guards against quarantine of a request for answers of what is no engine.
async def test_unsigned_refusals_are_no_evidence_against_a_request(lines):
    async with site_with("app", *[reply_of(404)] * 6) as (site, _):
        for _ in range(6):
            assert (await send(site, "/lookup/a")).status in {502, 503}
    messages = {line["message"] for line in lines}
    assert "attempt lost" in messages
    assert not messages & {"engine ended under a request", "quarantine begun"}


# Guards against statements of what is no engine about the endpoint.
async def test_unsigned_refusal_states_nothing_about_the_endpoint(lines):
    fields = ("Retry-After: 30", "Server-Leaving: 1", "Server-Limit: 0.01")
    async with site_with("app", reply_of(503, *fields)) as (site, engines):
        assert (await send(site, "/order/a")).status == 502
        assert (await send(site, "/order/a")).status == 502
        assert engines[0].requests == 2
    messages = {line["message"] for line in lines}
    assert not messages & {"endpoint asked for a pause", "endpoint limit changed"}


# Guards against a refusal that the log can't tell from a success.
async def test_log_and_metrics_name_the_status_and_the_missing_signature(lines):
    async with site_with("app", reply_of(404)) as (site, _):
        await send(site, "/order/a")
        metrics = site.gateways[0][0]._metrics
        labels = {"status": "404", "signed": "no"}
        assert metrics.counter("endpoint_statuses", **labels) == 1
    line = done(lines)
    assert (line["outcome"], line["status"]) == ("unknown", None)
    assert line["detail"] == "response 404 without a signature"
    assert line["attempts"][0][7] == line["detail"]
    assert json.dumps(line)


@pytest.mark.parametrize(
    ("status", "outcome"), [(200, "answered"), (404, "answered"), (500, "failed")]
)
async def test_log_names_the_status_that_the_caller_got(status, outcome, lines):
    async with site_with("app", reply_of(status, *SIGNED)) as (site, _):
        assert (await send(site, "/order/a")).status == status
        metrics = site.gateways[0][0]._metrics
        labels = {"status": str(status), "signed": "yes"}
        assert metrics.counter("endpoint_statuses", **labels) == (status != 200)
    line = done(lines)
    assert line["status"] == status and line["outcome"].startswith(outcome)
