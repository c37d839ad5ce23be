"""Validates a caller's HTTP request and converts it to a call."""

import hashlib
import uuid
from typing import Any
from urllib.parse import unquote

import msgspec

from cyclamenyoke.core.config import Customer, Service, ServiceKind
from cyclamenyoke.core.messages import Call
from cyclamenyoke.core.units import MINUTE
from cyclamenyoke.daemon.http_responses import RejectedCall

MAX_CLOCK_SKEW = 5 * MINUTE
"""Longest time in seconds by which a key's issue time may lie in the future."""

START_DEADLINE_SHARE = 0.8
"""Share of the time to its deadline within which a call must start."""

DEFAULT_MAX_TOKENS = 256
"""Assumed length of a response in tokens if ``max_tokens`` is missing."""

Scope = dict[str, Any]


class ChatBody(msgspec.Struct):
    """The fields of a chat request that an entry reads; all others are forwarded."""

    model: str
    stream: bool = False
    max_tokens: int = DEFAULT_MAX_TOKENS


class PreparedCall(msgspec.Struct, frozen=True):
    """A validated call.

    :param streaming: whether the caller requested an event stream.
    """

    call: Call
    service: Service
    streaming: bool


class CallRequest:
    """One HTTP request of a caller."""

    def __init__(
        self, scope: Scope, body: bytes, request_id: str, received_at: float
    ) -> None:
        self._headers: dict[str, str] = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        raw_path = scope.get("raw_path") or scope["path"].encode()
        self._query = scope.get("query_string", b"").decode("latin-1")
        self.method: str = scope["method"]
        self.path = unquote(str(raw_path, "latin-1"))
        self.body = body
        self._request_id = request_id
        self._received_at = received_at

    @property
    def authorization(self) -> str:
        """The Authorization header; empty if it is missing."""
        return self._headers.get("authorization", "")

    def prepare(
        self, service: Service, customer: Customer, path: str, cost: float
    ) -> PreparedCall:
        """Validate the call against its service.

        :param path: the path at the endpoint.
        :param cost: estimated work: tokens for a model service, 1 for a plain one.
        :raises RejectedCall: if a header is missing or invalid, or the body is invalid.
        """
        deadline = self._parse_deadline(service)
        repeatable = service.is_repeatable(self.method, path)
        key, issued_at = ("", 0.0) if repeatable else self._parse_idempotency_key()
        target = f"{path}?{self._query}" if self._query else path
        digest = hashlib.blake2b(
            f"{self.method} {target}\n".encode() + self.body, digest_size=12
        )
        call = Call(
            self._request_id,
            service.service,
            customer.name,
            self.method,
            target,
            self._headers.get("content-type", ""),
            self.body,
            deadline,
            self._received_at + START_DEADLINE_SHARE * (deadline - self._received_at),
            customer.share,
            cost,
            key,
            issued_at,
            digest.digest(),
        )
        streaming = service.kind is ServiceKind.MODEL and decode_chat(self.body).stream
        return PreparedCall(call, service, streaming)

    def _parse_deadline(self, service: Service) -> float:
        text = self._headers.get("x-request-timeout")
        if text is None:
            return self._received_at + service.deadlines.default
        try:
            seconds = float(text)
        except ValueError:
            seconds = 0.0
        if not 0 < seconds <= service.deadlines.maximum:
            limit = service.deadlines.maximum
            detail = (
                f"X-Request-Timeout {text!r} is not between 0 and {limit:g} seconds"
            )
            raise RejectedCall(400, "bad_timeout", detail)
        return self._received_at + seconds

    def _parse_idempotency_key(self) -> tuple[str, float]:
        key = self._headers.get("idempotency-key", "")
        if not key or len(key) > 255:
            detail = "this call may not be repeated and needs an Idempotency-Key"
            raise RejectedCall(400, "key_missing", detail)
        issued_at = self._parse_issue_time(key)
        if issued_at > self._received_at + MAX_CLOCK_SKEW:
            raise RejectedCall(400, "key_from_future", "issue time lies in the future")
        return key, issued_at

    def _parse_issue_time(self, key: str) -> float:
        """Return when a key was issued, in Unix time, from its header or a UUIDv7."""
        header = self._headers.get("idempotency-key-issued-at")
        try:
            if header is not None:
                return float(header)
            parsed = uuid.UUID(key)
        except ValueError:
            parsed = None
        if parsed is None or parsed.version != 7:
            detail = (
                "Idempotency-Key is no UUIDv7 and Idempotency-Key-Issued-At, in"
                " seconds of Unix time, is missing or wrong"
            )
            raise RejectedCall(400, "key_without_issue_time", detail)
        return (parsed.int >> 80) / 1000


def decode_chat(body: bytes) -> ChatBody:
    """Decode the body of a chat request.

    :raises RejectedCall: if it is not valid.
    """
    try:
        return msgspec.json.decode(body, type=ChatBody)
    except msgspec.DecodeError as error:
        raise RejectedCall(400, "bad_body", str(error)) from error
