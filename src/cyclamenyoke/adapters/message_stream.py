"""Typed messages over TCP between entries and agents.

A frame is a length of four bytes, a message authentication code (MAC) of 16 bytes and a
MessagePack array of messages. Messages sent in the same iteration of the event loop
share a frame. The MAC is a keyed BLAKE2b digest of the frame's content and sequence
number, with a key that is specific to the connection. A frame that was modified,
replayed or dropped therefore fails the connection. During the handshake the key is
empty; the handshake messages prove that both sides have the shared key.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct
from typing import Generic, TypeVar

import msgspec

from cyclamenyoke.core.messages import Challenge, FromAgent, Hello, ToAgent, Welcome
from cyclamenyoke.core.units import MEBIBYTE, SECOND
from cyclamenyoke.exceptions import AuthenticationError, ProtocolError

MAX_FRAME_BYTES = 16 * MEBIBYTE
"""Largest content of a received frame in bytes."""

MAX_UNSENT_BYTES = 64 * MEBIBYTE
"""Unsent bytes for a slow peer above which the connection is aborted."""

HANDSHAKE_TIMEOUT = 2 * SECOND
"""Seconds within which a handshake must complete."""

MAC_BYTES = 16
"""Length of the MAC of a frame in bytes."""

NONCE_BYTES = 16
"""Length of the nonce in a challenge in bytes."""

_HEADER = struct.Struct(">I")

Incoming = TypeVar("Incoming")

_FROM_AGENT_DECODER = msgspec.msgpack.Decoder(list[FromAgent])
_TO_AGENT_DECODER = msgspec.msgpack.Decoder(list[ToAgent])


class MessageStream(Generic[Incoming]):
    """A connection that carries typed messages in both directions.

    :param decoder: decoder for incoming messages.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: "msgspec.msgpack.Decoder[list[Incoming]]",
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = decoder
        self._encoder = msgspec.msgpack.Encoder()
        self._unsent: list[ToAgent | FromAgent] = []
        self._send_key = b""
        self._receive_key = b""
        self._sent_frames = 0
        self._received_frames = 0

    def set_keys(self, send_key: bytes, receive_key: bytes) -> None:
        """Authenticate all following frames with the keys of this connection."""
        self.flush()
        self._send_key = send_key
        self._receive_key = receive_key

    def send(self, message: ToAgent | FromAgent) -> None:
        """Queue a message; those of one event loop iteration share a frame."""
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self.flush)
        self._unsent.append(message)

    def flush(self) -> None:
        """Write the queued messages as one frame."""
        if not self._unsent or self._writer.is_closing():
            return
        content = self._encoder.encode(self._unsent)
        self._unsent = []
        mac = _mac(self._send_key, self._sent_frames, content)
        self._sent_frames += 1
        self._writer.write(_HEADER.pack(len(content)) + mac + content)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._writer.transport.abort()

    async def receive(self) -> list[Incoming]:
        """Return the messages of the next frame.

        :raises ProtocolError: when the frame is invalid.
        :raises OSError: when the connection is closed.
        """
        try:
            header = await self._reader.readexactly(_HEADER.size)
            (length,) = _HEADER.unpack(header)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(
                    f"frame of {length} bytes exceeds the limit (MAX_FRAME_BYTES)"
                )
            mac = await self._reader.readexactly(MAC_BYTES)
            content = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("peer closed the connection") from error
        expected = _mac(self._receive_key, self._received_frames, content)
        if not hmac.compare_digest(mac, expected):
            raise ProtocolError("authentication code of the frame is wrong")
        self._received_frames += 1
        try:
            return self._decoder.decode(content)
        except msgspec.DecodeError as error:
            raise ProtocolError(
                f"frame contains an invalid message: {error}"
            ) from error

    def close(self) -> None:
        """Send the queued messages and close the connection."""
        self.flush()
        self._writer.close()

    def abort(self) -> None:
        """Close the connection immediately and drop unsent data."""
        self._writer.transport.abort()


async def connect_to_agent(
    address: str, entry: str, shared_key: bytes
) -> tuple[MessageStream[FromAgent], Challenge, Welcome]:
    """Connect an entry to an agent and authenticate both sides.

    :param address: ``IP:PORT`` of the agent.
    :param entry: incarnation of this entry.
    :returns: the stream and the agent's handshake messages.
    :raises AuthenticationError: when the agent does not have the shared key.
    :raises ProtocolError: when the peer does not follow the protocol.
    :raises OSError: when the connection fails or the handshake times out.
    """
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(HANDSHAKE_TIMEOUT):
        reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        stream = MessageStream(reader, writer, _FROM_AGENT_DECODER)
        try:
            challenge = await _receive_one(stream, Challenge)
            nonce = secrets.token_bytes(NONCE_BYTES)
            transcript = _transcript(challenge, entry, nonce)
            stream.send(Hello(entry, nonce, _proof(shared_key, b"entry", transcript)))
            stream.flush()
            welcome = await _receive_one(stream, Welcome)
            _check_proof(welcome.proof, _proof(shared_key, b"agent", transcript))
        except BaseException:
            stream.abort()
            raise
    stream.set_keys(
        _proof(shared_key, b"to agent", transcript),
        _proof(shared_key, b"from agent", transcript),
    )
    return stream, challenge, welcome


class AgentHandshake:
    """The agent's side of the handshake.

    :param agent: name of the agent.
    :param incarnation: incarnation of the agent.
    """

    def __init__(self, agent: str, incarnation: str, shared_key: bytes) -> None:
        self._agent = agent
        self._incarnation = incarnation
        self._shared_key = shared_key

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[MessageStream[ToAgent], str, bytes]:
        """Authenticate an entry.

        :returns: the stream, the entry's incarnation and the handshake transcript,
            which :meth:`complete` needs.
        :raises AuthenticationError: when the entry does not have the shared key.
        :raises ProtocolError: when the peer does not follow the protocol.
        :raises OSError: when the connection is closed or the handshake times out.
        """
        stream = MessageStream(reader, writer, _TO_AGENT_DECODER)
        nonce = secrets.token_bytes(NONCE_BYTES)
        challenge = Challenge(self._agent, self._incarnation, nonce)
        stream.send(challenge)
        stream.flush()
        async with asyncio.timeout(HANDSHAKE_TIMEOUT):
            hello = await _receive_one(stream, Hello)
        transcript = _transcript(challenge, hello.entry, hello.nonce)
        _check_proof(hello.proof, _proof(self._shared_key, b"entry", transcript))
        return stream, hello.entry, transcript

    def complete(
        self, stream: MessageStream[ToAgent], transcript: bytes, welcome: Welcome
    ) -> None:
        """Prove that the agent has the shared key, and set the connection's keys.

        :param welcome: the message to send; its proof is replaced.
        """
        proof = _proof(self._shared_key, b"agent", transcript)
        stream.send(Welcome(proof, welcome.load, welcome.is_draining))
        stream.set_keys(
            _proof(self._shared_key, b"from agent", transcript),
            _proof(self._shared_key, b"to agent", transcript),
        )


Expected = TypeVar("Expected")


async def _receive_one(
    stream: MessageStream[Incoming], kind: type[Expected]
) -> Expected:
    messages = await stream.receive()
    if len(messages) != 1 or not isinstance(messages[0], kind):
        raise ProtocolError(
            f"expected exactly one {kind.__name__} message in the frame"
        )
    return messages[0]


def _transcript(challenge: Challenge, entry: str, nonce: bytes) -> bytes:
    return msgspec.msgpack.encode((challenge, entry, nonce))


def _proof(shared_key: bytes, label: bytes, transcript: bytes) -> bytes:
    return hmac.digest(shared_key, label + b"\0" + transcript, "sha256")


def _check_proof(given: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(given, expected):
        raise AuthenticationError("peer does not have the shared key")


def _mac(key: bytes, sequence_number: int, content: bytes) -> bytes:
    digest = hashlib.blake2b(content, digest_size=MAC_BYTES, key=key)
    digest.update(sequence_number.to_bytes(8, "big"))
    return digest.digest()
