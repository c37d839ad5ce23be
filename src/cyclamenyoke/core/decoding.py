"""Decodes values from outside the process, within ranges that all later steps bear.

Whatever the bytes are, the result is a value in range or :class:`MalformedValue`.

The JSON decoder accepts integers of any size, while MessagePack, in which gateways
exchange what they read, has none beyond 64 bits. So each field of a document or message
states its range, and a value outside of it is rejected where it is decoded.
"""

import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from cyclamenyoke.exceptions import MalformedValue

T = TypeVar("T")

MAX_INTEGER64 = 2**63 - 1
"""Largest signed integer of 64 bits."""

Integer64 = Annotated[int, Meta(ge=-(2**63), le=MAX_INTEGER64)]
"""A signed integer of 64 bits."""

Count = Annotated[int, Meta(ge=0, le=2**53)]
"""A number of things; exact as a float as well."""

Timestamp = Annotated[int, Meta(ge=0, le=MAX_INTEGER64)]
"""A time since the Unix epoch, in the unit that the field states."""

Number = Annotated[float, Meta(ge=-1e15, le=1e15)]
"""A finite number whose products with unit factors are finite as well."""

Quantity = Annotated[float, Meta(ge=0, le=1e15)]
"""A finite number that isn't negative."""

Name = Annotated[str, Meta(max_length=256)]
"""The name of a service, data centre or the like. Names are sent to peers in datagrams,
which have a limited size."""


_MALFORMED = (msgspec.DecodeError, ValueError, RecursionError)
"""What the decoders raise for malformed bytes. Text that isn't UTF-8 is a ValueError.
They limit the depth of a value, also of fields that they skip, by a RecursionError."""


MAX_PORT = 65535
"""Largest port number."""

Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
"""A port that can be listened on and connected to."""

_ADDRESS = re.compile(
    r"(?=.{1,253}:\d{1,5}\Z)[a-z0-9_-]{1,63}(\.[a-z0-9_-]{1,63})*:[1-9][0-9]*",
    re.ASCII | re.IGNORECASE,
)


def is_address(text: str) -> bool:
    """Return whether a text is ``HOST:PORT`` and can be connected to.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:70000"), is_address("a..b:80")
    (True, False, False)
    """
    if not _ADDRESS.fullmatch(text):
        return False
    return int(text.rpartition(":")[2]) <= MAX_PORT


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IPv4 address.

    >>> is_ip_address("10.0.0.1"), is_ip_address("node-1")
    (True, False)
    """
    try:
        IPv4Address(text)
    except AddressValueError:
        return False
    return True


def is_header_value(text: str) -> bool:
    """Return whether a text can be the value of a header, and is not empty.

    >>> is_header_value("i-1"), is_header_value("i-1\\r\\nX-Tenant: other")
    (True, False)
    """
    return bool(text) and text.isprintable() and text == text.strip()


MAX_INTEGER_DIGITS = 20
"""Digits of the longest integer that is parsed; the largest one of 64 bits has 19."""


def parse_integer(text: bytes, largest: int = MAX_INTEGER64) -> int:
    """Return the integer in a header or the like.

    :param largest: largest absolute value.
    :raises MalformedValue: when the text is no integer, or one out of range.

    >>> parse_integer(b"1500")
    1500
    """
    try:
        value = int(text) if len(text) <= MAX_INTEGER_DIGITS else largest + 1
    except ValueError as error:
        raise MalformedValue(f"{text!r} is not an integer") from error
    if abs(value) > largest:
        raise MalformedValue(f"integer {text[:MAX_INTEGER_DIGITS]!r} is out of range")
    return value


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a JSON document.

    :raises MalformedValue: when the data is not a document of this type.

    >>> decode_json(b"[1, 2]", list[Count])
    [1, 2]
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _MALFORMED as error:
        raise MalformedValue(str(error)) from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode a MessagePack message.

    :raises MalformedValue: when the data is not a message of this type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _MALFORMED as error:
        raise MalformedValue(str(error)) from error
