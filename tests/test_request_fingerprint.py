"""Recognising the same request when it is sent again."""

import pytest

from cyclamenyoke.core.inbound_request import InboundRequest
from cyclamenyoke.core.request_fingerprint import fingerprint


def request(target=b"/a/1?x=1", body=b"{}", **changes) -> InboundRequest:
    """Return a request; changes replace its fields."""
    fields = {
        "request_id": "1",
        "method": b"POST",
        "target": target,
        "path": target.partition(b"?")[0].decode(),
        "host": "h",
        "headers": [],
        "body": body,
        "api_key": None,
        "arrived_at": 0.0,
        "deadline": None,
        "last_event_id": None,
        "prompt_tokens": 0,
        "output_limit": 0,
        **changes,
    }
    return InboundRequest(**fields)


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": "2"},
        {"headers": [(b"X-Attempt", b"2")]},
        {"last_event_id": 4},
        {"deadline": 9.0, "arrived_at": 3.0},
        {"api_key": "another key of the customer"},
    ],
)
def test_same_request_with_another_id_or_headers_has_the_same_fingerprint(changes):
    assert fingerprint(request(**changes), "c") == fingerprint(request(), "c")


@pytest.mark.parametrize(
    "changes",
    [{"target": b"/a/2?x=1"}, {"body": b"{ }"}, {"target": b"/a/1", "body": b"x=1{}"}],
)
def test_other_path_or_body_has_another_fingerprint(changes):
    other = fingerprint(request(**changes), "c")
    assert other.content != fingerprint(request(), "c").content
    assert other.exact != fingerprint(request(), "c").exact


def test_same_request_of_another_customer_has_another_fingerprint():
    assert fingerprint(request(), "c").content != fingerprint(request(), "d").content


@pytest.mark.parametrize(
    "changes",
    [
        {"target": b"/a/1?x=2"},
        {"method": b"PUT"},
        {"last_part": "5c"},
        {"shared_parts": ("5c",)},
    ],
)
def test_other_query_method_or_prompt_changes_only_the_exact_fingerprint(changes):
    other = fingerprint(request(**changes), "c")
    assert other.content == fingerprint(request(), "c").content
    assert other.exact != fingerprint(request(), "c").exact


def test_fingerprint_of_a_long_body_is_short():
    assert len(fingerprint(request(body=b"x" * 4_000_000), "c").exact) == 24
