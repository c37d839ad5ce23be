"""Authenticated UDP datagrams and TCP snapshots between gateways."""

import asyncio
import hashlib
import hmac
import socket
from collections.abc import Callable
from typing import TypeVar, cast

import msgspec

from cyclamenyoke.core.config_confirmation import NO_EVIDENCE, Evidence
from cyclamenyoke.core.decoding import Number, decode_msgpack
from cyclamenyoke.core.endpoint_registry import Endpoint
from cyclamenyoke.core.peers import PeerUpdate
from cyclamenyoke.core.store_position import START, StorePosition
from cyclamenyoke.core.units import MEBIBYTE, SECOND
from cyclamenyoke.exceptions import (
    AuthenticationError,
    MalformedValue,
    PlatformUnavailable,
)

FORMAT_VERSION = b"\x05"
"""First byte of each message. Fields are encoded by position, so any change to the
fields of a message requires a new version."""

MAC_BYTES = 16
"""Length of the message authentication code (MAC) of a message in bytes."""

SNAPSHOT_TIMEOUT = 1 * SECOND
"""Timeout in seconds for transferring a snapshot; allows for about one megabyte over a
slow link."""

MAX_SNAPSHOT_BYTES = 4 * MEBIBYTE
"""Largest message over TCP in bytes. A snapshot contains the endpoint list and the
configuration, which is at most one megabyte, the largest value in the store."""

RECEIVE_BUFFER_BYTES = 1 * MEBIBYTE
"""Bytes of datagrams that the kernel buffers while this process is not scheduled."""

SNAPSHOT_REQUEST = b"snapshot"
"""Content of a snapshot request; the server ignores it."""

LENGTH_PREFIX_BYTES = 4
"""Size in bytes of the length that precedes each message over TCP."""

T = TypeVar("T")


class Snapshot(msgspec.Struct, array_like=True):
    """The cluster state of a gateway.

    :param config: the configuration as the operator wrote it; empty for none.
    :param config_position: position of the configuration in the store.
    :param list_age: seconds since the endpoint list was read; negative for no list.
    :param list_position: position of the store when the list was read.
    :param evacuated: data centres whose evacuation the store has.
    :param evacuation_position: position of the store when ``evacuated`` was read.
    :param evacuations_kept: as in :class:`PeerUpdate`.
    :param config_evidence: as in :class:`PeerUpdate`.
    :param config_age: as in :class:`PeerUpdate`.
    """

    config: bytes
    config_position: StorePosition
    list_age: Number
    list_position: StorePosition
    endpoints: list[Endpoint]
    evacuated: list[str] = []
    evacuation_position: StorePosition = START
    evacuations_kept: dict[str, Number] = {}
    config_evidence: Evidence = NO_EVIDENCE
    config_age: Number = -1.0


class UnknownKey(AuthenticationError):
    """The message was authenticated with a key that this node does not have."""


class MessageAuthenticator:
    """Encodes and authenticates messages with a key that all gateways share.

    After a change of the key, messages with the one before are still accepted, since
    the other nodes change theirs a little earlier or later.
    """

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._previous_key = key

    @property
    def key(self) -> bytes:
        """The key with which messages are signed."""
        return self._key

    def change_key(self, key: bytes) -> None:
        """Sign messages with another key from now on."""
        self._previous_key, self._key = self._key, key

    def sign(self, message: object) -> bytes:
        """Encode a message with its format version and authentication code."""
        data = msgspec.msgpack.encode(message)
        return FORMAT_VERSION + _mac(data, self._key) + data

    def verify(self, data: bytes, kind: type[T]) -> T:
        """Decode a message after checking its authentication code.

        :raises UnknownKey: when it has the format of a message, but another key.
        :raises AuthenticationError: when the data is not a gateway's valid message.
        """
        if data[:1] != FORMAT_VERSION:
            raise AuthenticationError(f"unknown message format {data[:1]!r}")
        mac, body = data[1 : 1 + MAC_BYTES], data[1 + MAC_BYTES :]
        keys = (self._key, self._previous_key)
        if not any(hmac.compare_digest(mac, _mac(body, key)) for key in keys):
            raise UnknownKey("authentication code of the message is wrong")
        try:
            return decode_msgpack(body, kind)
        except MalformedValue as error:
            raise AuthenticationError(f"malformed message: {error}") from error


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=MAC_BYTES).digest()


class PeerTransport(asyncio.DatagramProtocol):
    """Sends and receives peer updates, and serves snapshots.

    :param on_update: called with the update in each authentic datagram.
    :param on_rejected: called with the reason when a datagram is rejected or a snapshot
        request is not served.
    :param on_unknown_key: called when a peer seems to have another key.
    :param snapshot: returns the cluster state of this gateway.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        authenticator: MessageAuthenticator,
        on_update: Callable[[PeerUpdate], None],
        on_rejected: Callable[[str], None],
        on_unknown_key: Callable[[], None],
        snapshot: Callable[[], Snapshot],
    ) -> None:
        self._ip = ip
        self._port = port
        self._authenticator = authenticator
        self._on_update = on_update
        self._on_rejected = on_rejected
        self._on_unknown_key = on_unknown_key
        self._snapshot = snapshot
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        # Datagrams only, without snapshots.
        self.sent_datagram_bytes = 0

    async def start(self) -> None:
        """Start listening for datagrams and snapshot requests."""
        loop = asyncio.get_running_loop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((self._ip, self._port))
        await loop.create_datagram_endpoint(lambda: self, sock=sock)
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def send(self, update: PeerUpdate, ips: list[str]) -> None:
        """Send an update to some peers in one datagram each."""
        if self._transport is None or not ips:
            return
        data = self._authenticator.sign(update)
        for ip in ips:
            self._transport.sendto(data, (ip, self._port))
        self.sent_datagram_bytes += len(data) * len(ips)

    async def fetch_snapshot(self, ip: str) -> Snapshot:
        """Return the cluster state of a peer.

        :raises PlatformUnavailable: when the peer sends no valid response in time.
        """
        writer = None
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT):
                reader, writer = await asyncio.open_connection(ip, self._port)
                writer.write(_frame(self._authenticator.sign(SNAPSHOT_REQUEST)))
                data = await _read_frame(reader)
        except (OSError, TimeoutError, EOFError) as error:
            kind = type(error).__name__
            raise PlatformUnavailable(f"snapshot from {ip}: {kind}") from error
        finally:
            if writer is not None:
                writer.close()
        try:
            return self._authenticator.verify(data, Snapshot)
        except AuthenticationError as error:
            raise PlatformUnavailable(f"snapshot from {ip}: {error}") from error

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT):
                self._authenticator.verify(await _read_frame(reader), bytes)
                writer.write(_frame(self._authenticator.sign(self._snapshot())))
                await writer.drain()
        except (OSError, TimeoutError, EOFError, AuthenticationError) as error:
            self._on_rejected(f"snapshot request: {type(error).__name__}: {error}")
        finally:
            writer.close()

    # asyncio callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            update = self._authenticator.verify(data, PeerUpdate)
        except AuthenticationError as error:
            self._on_rejected(f"datagram from {addr[0]}: {error}")
            if isinstance(error, UnknownKey):
                self._on_unknown_key()
            return
        self._on_update(update)

    def error_received(self, exc: Exception) -> None:
        # A peer that is not listening causes an ICMP error. There is nothing to do: its
        # missing updates show that it is down.
        pass


def _frame(data: bytes) -> bytes:
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(LENGTH_PREFIX_BYTES), "big")
    if length > MAX_SNAPSHOT_BYTES:
        raise AuthenticationError(
            f"message of {length} bytes exceeds the limit (MAX_SNAPSHOT_BYTES)"
        )
    return await reader.readexactly(length)
