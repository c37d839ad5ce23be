"""Brings the head of a request into one form before anything in it is compared.

A sender may write the target with or without scheme and host, and may put white space
around a header's value; see RFC 9112, sections 3.2 and 5.1. The path and the query are
never changed.
"""

import re
from collections.abc import Sequence

from cyclamenyoke.adapters.http_connection import Header

HOST = b"host"
OPTIONAL_WHITE_SPACE = b" \t"

TAB_AT_LINE_END = re.compile(rb"\t *\r\n")
"""The last tab of a line that ends with white space, up to the line's end."""

TABS_TO_SPACES = bytes.maketrans(b"\t", b" ")

_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#@]+)(|[/?].*)", re.IGNORECASE | re.DOTALL)


def normalize_head(
    target: bytes, headers: Sequence[Header]
) -> tuple[bytes, list[Header]]:
    """Return target and headers as handlers see them.

    The host of a target in absolute form replaces the one in the ``Host`` header. A
    target in a form that isn't supported is returned as it is.

    >>> normalize_head(b"http://a:80/b?c", [(b"Host", b"x"), (b"Accept", b"d\\t")])
    (b'/b?c', [(b'Host', b'a:80'), (b'Accept', b'd')])
    >>> normalize_head(b"http://a?c", [])
    (b'/?c', [])
    """
    stripped = [(name, value.strip(OPTIONAL_WHITE_SPACE)) for name, value in headers]
    match = _ABSOLUTE_FORM.fullmatch(target)
    if match is None:
        return target, stripped
    authority, origin_form = match.groups()
    if not origin_form.startswith(b"/"):
        origin_form = b"/" + origin_form
    replaced = [
        (name, authority if name.lower() == HOST else value) for name, value in stripped
    ]
    return origin_form, replaced
