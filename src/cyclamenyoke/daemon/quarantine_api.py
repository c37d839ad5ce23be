"""Shows operators which requests a gateway withholds, and lifts a quarantine."""

from http import HTTPStatus

import msgspec

from cyclamenyoke.adapters.http_ingress import HttpRequest, Responder
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.core.decoding import decode_json
from cyclamenyoke.core.request_quarantine import RequestQuarantine
from cyclamenyoke.exceptions import MalformedValue
from cyclamenyoke.ports.clock import Clock

QUARANTINE_PATH = "/quarantine"
JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")


class QuarantinedPrompt(msgspec.Struct):
    """What is withheld together.

    :param parts: ids of parts of prompts; or one request, as ``request:DIGEST`` or
        ``content:DIGEST``, of which "attempt lost" in the logs tells more.
    :param engines: the engines that ended, each as ``ID@START``.
    :param remaining: seconds until the evidence is too old.
    """

    service: str
    parts: list[str]
    engines: list[str]
    remaining: float


class LiftRequest(msgspec.Struct):
    """Asks to send requests again.

    :param part: one of the ``parts`` of :class:`QuarantinedPrompt`.
    """

    service: str
    part: str


class QuarantineHandler:
    """Handles ``GET /quarantine`` and ``POST /quarantine`` with a :class:`LiftRequest`.

    A quarantine that is lifted at one gateway ends at all.
    """

    def __init__(self, quarantine: RequestQuarantine, clock: Clock, log: Log) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._log = log

    @property
    def part_count(self) -> int:
        """The number of prompt parts and of single requests that are withheld."""
        return sum(len(each.traits) for each in self._quarantine.quarantines)

    def handle(self, request: HttpRequest, responder: Responder) -> bool:
        """Respond to a request; return false if it is not for this handler."""
        if request.target.partition(b"?")[0].decode("latin-1") != QUARANTINE_PATH:
            return False
        if request.method == b"GET":
            body = msgspec.json.encode(self._list())
            responder.respond(HTTPStatus.OK.value, [JSON_CONTENT_TYPE], body)
        elif request.method == b"POST":
            responder.respond(self._lift(request.body).value)
        else:
            responder.respond(HTTPStatus.METHOD_NOT_ALLOWED.value)
        return True

    def _list(self) -> list[QuarantinedPrompt]:
        now = self._clock.now()
        return [
            QuarantinedPrompt(
                each.service,
                sorted(each.traits),
                sorted(each.engines),
                round(each.until - now, 3),
            )
            for each in self._quarantine.quarantines
        ]

    def _lift(self, body: bytes) -> HTTPStatus:
        try:
            lift = decode_json(body, LiftRequest)
        except MalformedValue:
            return HTTPStatus.BAD_REQUEST
        if not self._quarantine.lift(lift.service, lift.part, self._clock.now()):
            return HTTPStatus.NOT_FOUND
        self._log.warning("quarantine lifted", service=lift.service, part=lift.part)
        return HTTPStatus.NO_CONTENT
