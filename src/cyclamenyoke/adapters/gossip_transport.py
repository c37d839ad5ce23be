"""Authenticated gossip between daemons over pynng request sockets.

A request is a nonce of 24 bytes, a message authentication code (MAC) of 16 bytes and a
MessagePack array. The nonce contains the sender's time: a request whose time is too far
from the receiver's clock is rejected. The receiver stores the nonces of more recent
requests, so that it can reject replays of them. A reply is a MAC and a MessagePack
array. Its MAC covers the nonce of the request, so a replayed reply is rejected, too.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import msgspec
import pynng

from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.core.gossip import GossipMessage
from cyclamenyoke.core.units import MINUTE, SECOND
from cyclamenyoke.exceptions import AuthenticationError
from cyclamenyoke.ports.clock import Clock

REPLY_TIMEOUT = 1 * SECOND
"""Seconds without a reply, connecting included, after which a request fails and the
peer is considered unreachable."""

MAX_OPEN_SOCKETS = 8
"""Largest number of peers to which a request socket is kept open."""

MAX_REQUEST_AGE = 1 * MINUTE
"""Largest difference in seconds between a request's time and the receiver's clock."""

RESEND_DISABLED = -1
"""Resend time of a pynng socket that disables resending and its timer."""

MAC_BYTES = 16
"""Length of the MAC of a request or reply in bytes."""

RANDOM_BYTES = 16
"""Length of the random part of a nonce in bytes."""

_TIME = struct.Struct(">d")
_NONCE_BYTES = _TIME.size + RANDOM_BYTES
_DECODER = msgspec.msgpack.Decoder(GossipMessage)


def limit_pynng_threads() -> None:
    """Limit pynng to one thread of each kind, regardless of the number of cores.

    Must be called before the first socket is created. By default pynng starts several
    threads per core, and their idle wake-ups cost more CPU time than the gossip.
    """
    for parameter in (
        pynng.lib.NNG_INIT_NUM_TASK_THREADS,
        pynng.lib.NNG_INIT_MAX_TASK_THREADS,
        pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS,
        pynng.lib.NNG_INIT_MAX_EXPIRE_THREADS,
        pynng.lib.NNG_INIT_NUM_POLLER_THREADS,
        pynng.lib.NNG_INIT_MAX_POLLER_THREADS,
    ):
        pynng.lib.nng_init_set_parameter(parameter, 1)


class RequestAuthenticator:
    """Authenticates requests and replies with the shared key."""

    def __init__(self, shared_key: bytes, clock: Clock) -> None:
        self._key = hashlib.blake2b(shared_key, digest_size=32).digest()
        self._clock = clock
        self._used_nonces: OrderedDict[bytes, float] = OrderedDict()

    def sign_request(self, content: bytes) -> bytes:
        """Return a request with a new nonce and a MAC."""
        nonce = _TIME.pack(self._clock.now()) + secrets.token_bytes(RANDOM_BYTES)
        return nonce + self._mac(b"request", nonce, content) + content

    def verify_request(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the nonce and the content of a request.

        :raises AuthenticationError: if the MAC is wrong, the nonce's time differs from
            the clock by more than ``MAX_REQUEST_AGE``, or the nonce was already used.
        """
        nonce, mac = data[:_NONCE_BYTES], data[_NONCE_BYTES : _NONCE_BYTES + MAC_BYTES]
        content = data[_NONCE_BYTES + MAC_BYTES :]
        expected = self._mac(b"request", nonce, content)
        if not hmac.compare_digest(mac, expected):
            raise AuthenticationError("authentication code of the request is wrong")
        self._check_nonce(nonce)
        return nonce, content

    def sign_reply(self, nonce: bytes, content: bytes) -> bytes:
        """Return a reply to the request that has the given nonce."""
        return self._mac(b"answer", nonce, content) + content

    def verify_reply(self, nonce: bytes, data: bytes) -> bytes:
        """Return the content of a reply.

        :raises AuthenticationError: if the MAC is wrong.
        """
        mac, content = data[:MAC_BYTES], data[MAC_BYTES:]
        expected = self._mac(b"answer", nonce, content)
        if not hmac.compare_digest(mac, expected):
            raise AuthenticationError("authentication code of the reply is wrong")
        return content

    def _mac(self, label: bytes, nonce: bytes, content: bytes) -> bytes:
        digest = hashlib.blake2b(label + nonce, digest_size=MAC_BYTES, key=self._key)
        digest.update(content)
        return digest.digest()

    def _check_nonce(self, nonce: bytes) -> None:
        now = self._clock.now()
        (sent_at,) = _TIME.unpack(nonce[: _TIME.size])
        if abs(now - sent_at) > MAX_REQUEST_AGE or nonce in self._used_nonces:
            raise AuthenticationError("request is too old, too new or a replay")
        self._used_nonces[nonce] = now + 2 * MAX_REQUEST_AGE
        while next(iter(self._used_nonces.values())) <= now:
            self._used_nonces.popitem(last=False)


class GossipClient:
    """Sends requests to peers; keeps the sockets to the most recently used peers."""

    def __init__(self, authenticator: RequestAuthenticator, metrics: Metrics) -> None:
        self._authenticator = authenticator
        self._metrics = metrics
        self._sockets: OrderedDict[str, pynng.Req0] = OrderedDict()
        self._locks: dict[str, asyncio.Lock] = {}

    async def request(
        self, address: str, message: GossipMessage
    ) -> GossipMessage | None:
        """Send a request; return the reply, or ``None`` if no valid one arrives."""
        async with self._locks.setdefault(address, asyncio.Lock()):
            try:
                async with asyncio.timeout(REPLY_TIMEOUT):
                    return await self._request(address, message)
            except (
                TimeoutError,
                pynng.NNGException,
                AuthenticationError,
                msgspec.DecodeError,
            ):
                self._close_socket(address)
                return None

    def close(self) -> None:
        """Close all sockets."""
        for address in list(self._sockets):
            self._close_socket(address)

    async def _request(self, address: str, message: GossipMessage) -> GossipMessage:
        socket = self._socket(address)
        request = self._authenticator.sign_request(msgspec.msgpack.encode(message))
        await socket.asend(request)
        data = await socket.arecv()
        self._metrics.count("exchange_bytes", len(request), direction="sent")
        self._metrics.count("exchange_bytes", len(data), direction="received")
        content = self._authenticator.verify_reply(request[:_NONCE_BYTES], data)
        return _DECODER.decode(content)

    def _socket(self, address: str) -> pynng.Req0:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(resend_time=RESEND_DISABLED)
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[address] = socket
        self._sockets.move_to_end(address)
        if len(self._sockets) > MAX_OPEN_SOCKETS:
            self._close_socket(next(iter(self._sockets)))
        return socket

    def _close_socket(self, address: str) -> None:
        socket = self._sockets.pop(address, None)
        if socket is not None:
            socket.close()


class GossipServer:
    """Replies to requests from peers; owns the listening socket.

    :param address: ``IP:PORT`` to listen on.
    """

    def __init__(
        self, address: str, authenticator: RequestAuthenticator, metrics: Metrics
    ) -> None:
        self._authenticator = authenticator
        self._metrics = metrics
        self._socket = pynng.Rep0(listen=f"tcp://{address}")

    async def serve(
        self, handle: Callable[[GossipMessage], Awaitable[GossipMessage | None]]
    ) -> None:
        """Handle requests until cancelled.

        :param handle: returns the reply; ``None`` sends an empty one.
        """
        while True:
            data = await self._socket.arecv()
            self._metrics.count("exchange_bytes", len(data), direction="received")
            reply = await self._handle_request(data, handle)
            self._metrics.count("exchange_bytes", len(reply), direction="sent")
            await self._socket.asend(reply)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def _handle_request(
        self,
        data: bytes,
        handle: Callable[[GossipMessage], Awaitable[GossipMessage | None]],
    ) -> bytes:
        try:
            nonce, content = self._authenticator.verify_request(data)
            message = await handle(_DECODER.decode(content))
        except (AuthenticationError, msgspec.DecodeError, struct.error):
            self._metrics.count("exchanges_refused")
            return b""
        if message is None:
            return b""
        return self._authenticator.sign_reply(nonce, msgspec.msgpack.encode(message))
