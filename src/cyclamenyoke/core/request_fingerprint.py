"""Recognises the same request when it is sent again.

Callers give each attempt a new id and may change headers, so that only what a request
asks for can tell. The digests have a fixed length whatever the size of the body.
"""

from dataclasses import dataclass
from hashlib import blake2b

from cyclamenyoke.core.inbound_request import InboundRequest

DIGEST_BYTES = 12
"""Length of a digest; a collision among millions of requests is unlikely."""


@dataclass(frozen=True, slots=True)
class RequestFingerprint:
    """Digests of one request, in hexadecimal.

    :param content: of the customer, the path and the body.
    :param exact: of these, the method, the query and the prompt.
    """

    content: str
    exact: str


def fingerprint(request: InboundRequest, customer: str | None) -> RequestFingerprint:
    """Return the fingerprint of a customer's request.

    The event after which a stream resumes is left out: a caller who asks again may have
    received some events in between.
    """
    path = request.path.encode("latin-1")
    content = _digest((customer or "").encode(), path, request.body)
    query = request.target.partition(b"?")[2]
    prompt = (*request.shared_parts, request.last_part)
    exact = _digest(
        content, request.method, query, *(part.encode("latin-1") for part in prompt)
    )
    return RequestFingerprint(content.hex(), exact.hex())


def _digest(*fields: bytes) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        # With its length, no two sequences of fields look the same.
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return digest.digest()
