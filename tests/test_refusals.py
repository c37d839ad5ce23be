"""Log lines and counters of requests that are refused before they are routed."""

from dataclasses import replace

import pytest
from logbook import TestHandler

from cyclamenyoke.adapters.http_ingress import HttpRequest
from cyclamenyoke.core.refusals import MAX_SHOWN_CHARACTERS, Refusal, key_digest
from cyclamenyoke.platform.caller_handlers import decode_request
from site_fixture import (
    API_KEY,
    caller_headers,
    connect,
    encode_request,
    read_response,
    running_site,
)

ID = "00000000000000aa"


def raw_request(method="GET", target="/lookup/a", lines=(), without=(), body=b""):
    """Return the bytes of a caller's request.

    :param lines: further header lines.
    :param without: names of headers to leave out.
    """
    headers = caller_headers(request_id=ID)
    kept = {name: each for name, each in headers.items() if name not in without}
    head = encode_request(method, target, kept)
    return head[:-2] + b"".join(line + b"\r\n" for line in lines) + b"\r\n" + body


async def refuse(site, data: bytes) -> tuple[int, list[dict]]:
    """Send bytes to a gateway; return its status and the fields of its log lines."""
    with TestHandler().applicationbound() as handler:
        reader, writer = await connect(site.gateways[0][1].callers)
        writer.write(data)
        response = await read_response(reader)
        writer.close()
    lines = [
        each.extra for each in handler.records if each.message == "request refused"
    ]
    assert API_KEY not in repr([each.extra for each in handler.records])
    return response.status, lines


def expected(reason, status=400, **fields):
    return {"outcome": reason, "status": status, **fields}


CASES = [
    (
        raw_request(without=["X-Request-Id"]),
        expected("missing_header", request=None, field="x-request-id"),
    ),
    (raw_request(without=["Host"]), expected("missing_header", field="host")),
    (raw_request("OPTIONS", "*"), expected("unsupported_target", path="*")),
    (
        raw_request(lines=[b"X-Long: " + b"x" * 5000]),
        expected("headers_too_large", 431, field="head", size=5131, limit=4096),
    ),
    (
        raw_request("PUT", lines=[b"Content-Length: 3"] * 2),
        expected("malformed_message", value="Duplicate Content-Length"),
    ),
    (
        raw_request("PUT", lines=[b"Content-Length: 20000"]),
        expected("body_too_large", 413, field="body", size=20000, limit=10000),
    ),
    (
        raw_request("PUT", lines=[b"Transfer-Encoding: gzip, chunked"]),
        expected("unsupported_coding", 501, value="gzip, chunked"),
    ),
    (
        raw_request("PUT", lines=[b"Transfer-Encoding: chunked, chunked"]),
        expected("ambiguous_framing", value="chunked, chunked"),
    ),
    (
        raw_request(lines=[b"Host: other.example"]),
        expected("repeated_header", field="host", value="site.example, other.example"),
    ),
    (
        raw_request(
            lines=[b"Upgrade: h2c", b"Connection: upgrade", b"Content-Length: 3"]
        ),
        expected("upgrade_with_body", 501, field="content-length", value="3"),
    ),
    (
        raw_request(lines=[b"Bad Name: 1"]),
        expected("malformed_message", field="X-Deadline-Ms"),
    ),
    (
        raw_request("PUT", lines=[b"Content-Length: 5"], body=b"abc"),
        expected("too_slow", 408, field="body"),
    ),
]


@pytest.mark.parametrize(
    "data, wanted", CASES, ids=[wanted["outcome"] for _, wanted in CASES]
)
async def test_refusal_is_logged_with_the_input_that_was_compared(data, wanted):
    async with running_site() as site:
        gateway = site.gateways[0][0]
        server = gateway._caller_server
        server.limits = replace(server.limits, idle_timeout=0.3)
        status, lines = await refuse(site, data)
        assert (status, len(lines)) == (wanted["status"], 1)
        wanted = {"request": ID, "config_version": 1, **wanted}
        assert lines[0] | wanted == lines[0]
        count = gateway._metrics.counter("refusals", reason=wanted["outcome"])
        assert count == 1
        name = "unreadable_requests"
        assert gateway._metrics.counter(name, status=str(status)) == 1


# Guards against log lines whose length callers decide, and secrets in them.
async def test_texts_from_callers_are_shortened_in_the_log():
    async with running_site() as site:
        target = "http://u@h/" + "x" * 500 + "?token=secret"
        _, [line] = await refuse(site, raw_request(target=target))
        assert len(line["path"]) == MAX_SHOWN_CHARACTERS
        assert "secret" not in repr(line)
        data = raw_request(lines=[b"Transfer-Encoding: " + b"chunked," * 50])
        _, [line] = await refuse(site, data)
        assert len(line["value"]) == MAX_SHOWN_CHARACTERS


# Guards against a key that is logged since the request around it is refused.
@pytest.mark.parametrize("line", [b"X-A: \x01", b"Host: b", b"X A: b"])
async def test_key_of_a_refused_request_is_not_logged(line):
    async with running_site() as site:
        status, [fields] = await refuse(site, raw_request(lines=[line]))
        assert status == 400 and fields["value"]


async def test_denial_names_the_configuration_and_the_key_that_decided():
    async with running_site() as site:
        data = raw_request(lines=[b"Authorization: Bearer other-key"])
        data = data.replace(f"Authorization: Bearer {API_KEY}\r\n".encode(), b"")
        status, lines = await refuse(site, data)
        assert (status, len(lines)) == (401, 1)
        fields = lines[0]
        assert fields["denial"] == fields["outcome"] == "no_key"
        assert fields["key"] == key_digest("other-key")
        assert fields["config_version"] == 1
        assert 0 <= fields["config_age"] < 2
        metrics = site.gateways[0][0]._metrics
        assert metrics.counter("refusals", reason="no_key") == 1


def test_password_in_a_target_is_not_logged():
    headers = [(b"Host", b"a"), (b"X-Request-Id", b"1")]
    target = b"http://user:password@a/b"
    refusal = decode_request(
        HttpRequest(b"GET", target, headers, b"", 0.0, True, False)
    )
    assert isinstance(refusal, Refusal)
    assert "password" not in refusal.path
