"""Records of what processes saw, as JSON lines.

Times are seconds of the monotonic clock, which all processes of a machine share.
"""

import os
import time
from pathlib import Path

import msgspec

FOREVER = 1e12
"""A time that never comes; JSON knows no infinity."""


class Event(msgspec.Struct, omit_defaults=True):
    """One observation. ``what`` says which; fields that do not apply are left out.

    Callers record ``sent`` and ``ended``, engines ``arrived``, ``began``,
    ``wrote`` (the first event of a stream) and ``left``.
    The run itself records ``signal``, ``started``, ``exited``, ``fault``, ``store``
    (the store is disturbed), ``harmed`` (an engine is), ``disturbed`` (a gateway is, by
    its links), ``leaving`` (the store has accepted that an engine leaves or is gone),
    ``configured``, ``endless`` (the responses of engines have no end) and ``asked``
    (for the readiness of a gateway, with its memory).

    :param at: when it was seen.
    :param process: the gateway, engine or caller that it is about.
    :param request: id of the request.
    :param service: service of the request.
    :param kind: ``safe``, ``unsafe`` or ``streaming``.
    :param gateway: gateway to which the caller sent the request.
    :param connection: number of the caller's connection.
    :param use: how many requests the connection carried before this one.
    :param deadline: when the caller gives up; as an engine was told, 0 if it was not.
    :param incarnation: start of the gateway that was running then, from 1.
    :param result: how it ended; see :mod:`process_soak.callers` and
        :mod:`process_soak.engine`.
    :param status: status of the response, 0 without one.
    :param signer: engine whose signature the response bears.
    :param detail: anything else, for the reader.
    :param until: when the condition that begins here ends, or the work as planned.
    :param key: number of the request's API key, 0 for the one of all versions; keys
        that a version adds to that one.
    :param head_bytes: bound on the head of a request that was made large, 0 for others;
        the limit of a version.
    :param body_bytes: the same of bodies.
    :param memory: largest memory of a gateway since its start, in bytes.
    """

    at: float
    what: str
    process: str = ""
    request: str = ""
    service: str = ""
    kind: str = ""
    gateway: str = ""
    connection: int = 0
    use: int = 0
    deadline: float = 0.0
    incarnation: int = 0
    result: str = ""
    status: int = 0
    signer: str = ""
    detail: str = ""
    until: float = 0.0
    key: int = 0
    head_bytes: int = 0
    body_bytes: int = 0
    memory: int = 0


class Record:
    """Appends events to a file. Each is written at once, so that a kill loses none."""

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)

    def add(self, what: str, at: float | None = None, **fields: object) -> None:
        """Append one event.

        :param at: now, if left out.
        """
        event = Event(time.monotonic() if at is None else at, what, **fields)
        os.write(self._file, msgspec.json.encode(event) + b"\n")


def read_events(directory: Path) -> list[Event]:
    """Return the events of all records in a directory, in the order of their times."""
    decoder = msgspec.json.Decoder(Event)
    events: list[Event] = []
    for path in directory.glob("*.jsonl"):
        for line in path.read_bytes().splitlines():
            events.append(decoder.decode(line))
    return sorted(events, key=lambda event: event.at)
