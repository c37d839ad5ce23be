"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

CHUNKED = "chunked"


@dataclass
class Message:
    """A request or response; header names are in lower case.

    :param first: the words of its first line.
    :param is_whole: whether its body ended as its framing says.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True
    chunks: list[bytes] = field(default_factory=list)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message.

    :raises asyncio.IncompleteReadError: when the connection ends before.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message into it; note whether it came whole."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == CHUNKED:
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                message.chunks.append(data[:-2])
            message.body = b"".join(message.chunks)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_whole = False


def encode(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]] = (),
    body: bytes = b"",
    timeout: float = 2.0,
) -> Message:
    """Send one request on a connection of its own and return the response."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = [*headers]
            if not any(name == "Host" for name, _ in fields):
                fields.insert(0, ("Host", address))
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            message = await read_head(reader)
            await read_body(reader, message)
            return message
        finally:
            writer.transport.abort()
