"""Checks of the heads of HTTP responses, which no parser's leniency replaces.

A response with a head that is malformed is no answer: nobody knows what its sender
meant, nor where its body ends.
"""

import re
from collections.abc import Sequence

from cyclamenyoke.core.inbound_request import Header
from cyclamenyoke.exceptions import CyclamenyokeError

VERSIONS = frozenset({"1.0", "1.1"})
"""Versions of HTTP whose framing of messages is known."""

INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
"""Statuses of responses that precede the final one, and of final ones."""

SWITCHING_PROTOCOLS = 101
"""Status of an interim response after which no HTTP follows; no client asks for it."""

MAX_SHOWN_BYTES = 60
"""Largest number of bytes of a malformed part that an error shows."""

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class MalformedHead(CyclamenyokeError):
    """The head of a response is not one in HTTP."""


def _show(part: bytes) -> str:
    """Return a part of a head with other bytes than printable ones escaped.

    >>> _show(b"a\\x00b")
    "b'a\\\\x00b'"
    """
    return repr(part[:MAX_SHOWN_BYTES])


def check_field(name: bytes, value: bytes) -> None:
    """Check a field of a head or trailer.

    :raises MalformedHead: when its name is no token, or its value has a control byte.

    >>> check_field(b"Content-Type", b"text/plain")
    >>> check_field(b"Content Type", b"text/plain")
    Traceback (most recent call last):
    cyclamenyoke.adapters.head_check.MalformedHead: field name b'Content Type'
    """
    if not _NAME.fullmatch(name):
        raise MalformedHead(f"field name {_show(name)}")
    if _CONTROL.search(value):
        raise MalformedHead(f"value {_show(value)} of field {_show(name)}")


def check_status(status: int, version: str) -> None:
    """Check the status line of a response.

    :param version: the version of HTTP that it states, such as ``1.1``.
    :raises MalformedHead: when there is no such status, or the version has another
        framing.
    """
    if version not in VERSIONS:
        raise MalformedHead(f"HTTP version {version}")
    is_interim = status in INTERIM_STATUSES and status != SWITCHING_PROTOCOLS
    if not is_interim and status not in FINAL_STATUSES:
        raise MalformedHead(f"status {status:03}")


def check_framing(headers: Sequence[Header], version: str) -> None:
    """Check that one known way tells where the body of a response ends.

    :raises MalformedHead: when the body has another transfer coding than chunks, or
        several lengths.
    """
    codings = _values(headers, b"transfer-encoding")
    lengths = _values(headers, b"content-length")
    if len(codings) + len(lengths) > 1:
        raise MalformedHead(f"framing {_show(b', '.join(codings + lengths))}")
    if codings and (codings[0].lower() != b"chunked" or version == "1.0"):
        raise MalformedHead(f"transfer coding {_show(codings[0])} in HTTP/{version}")
    if lengths and not lengths[0].isdigit():
        raise MalformedHead(f"length {_show(lengths[0])}")


def check_head(status: int, version: str, headers: Sequence[Header]) -> None:
    """Check the whole head of a final response.

    :param version: as an HTTP client states it, such as ``HTTP/1.1``.
    :raises MalformedHead: as the other checks do.
    """
    number = version.removeprefix("HTTP/")
    check_status(status, number)
    for name, value in headers:
        check_field(name, value)
    check_framing(headers, number)


def _values(headers: Sequence[Header], name: bytes) -> list[bytes]:
    return [value.strip() for key, value in headers if key.lower() == name]
