"""Structured logs: one JSON object a line, through logbook."""

import logging
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

import msgspec
from logbook import WARNING, Handler, Logger, StreamHandler, lookup_level
from logbook.compat import RedirectLoggingHandler

from cyclamenyoke.adapters.line_writer import LineWriter

_LINE = msgspec.json.Encoder(enc_hook=str)


def _format_line(record: Any, handler: Any) -> str:
    """Return a log record as one line of JSON."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **record.extra,
    }
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return _LINE.encode(fields).decode()


def install_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Send the logs of this process to a stream, those of its libraries, too.

    uvicorn's own log is left out: it reports each answer that is cut on purpose.

    :param level: the name of the lowest level that is written.
    """
    handler = StreamHandler(stream, level=lookup_level(level.upper()))
    handler.formatter = _format_line
    _install(handler)


class _LineHandler(Handler):  # type: ignore[misc]
    """Hands each record to a :class:`LineWriter`."""

    def __init__(self, writer: LineWriter, level: int) -> None:
        super().__init__(level)
        self._writer = writer

    def emit(self, record: Any) -> None:
        line = _format_line(record, self).encode() + b"\n"
        self._writer.write(line, is_urgent=record.level >= WARNING)


def _describe_drops(count: int) -> bytes:
    """Return the line that tells how many lines are missing before it."""
    fields = {
        "time": datetime.now(UTC)
        .replace(tzinfo=None)
        .isoformat(timespec="milliseconds"),
        "level": "warning",
        "logger": "logs",
        "message": "log lines dropped",
        "count": count,
    }
    return _LINE.encode(fields) + b"\n"


def install_nonblocking_logs(level: str, descriptor: int) -> LineWriter:
    """Send the logs of this process to a descriptor that may stop taking them.

    :param level: the name of the lowest level that is written.
    :returns: the writer, to be closed at the end of the process.
    """
    writer = LineWriter(descriptor, _describe_drops)
    _install(_LineHandler(writer, lookup_level(level.upper())))
    return writer


def _install(handler: Handler) -> None:
    handler.push_application()
    root = logging.getLogger()
    root.handlers = [RedirectLoggingHandler()]
    root.setLevel(logging.WARNING)
    logging.getLogger("uvicorn.error").disabled = True


class Log:
    """A logger whose lines carry fixed fields.

    :param channel: the name of the part that logs.
    :param fields: written with every line.
    """

    def __init__(self, channel: str, **fields: object) -> None:
        self._logger = Logger(channel)
        self._fields = fields

    def debug(self, message: str, **fields: object) -> None:
        """Log what only a developer needs."""
        self._logger.debug(message, extra={**self._fields, **fields})

    def info(self, message: str, **fields: object) -> None:
        """Log an ordinary event."""
        self._logger.info(message, extra={**self._fields, **fields})

    def warning(self, message: str, **fields: object) -> None:
        """Log what an operator may have to look at."""
        self._logger.warning(message, extra={**self._fields, **fields})

    def error(self, message: str, **fields: object) -> None:
        """Log a fault."""
        self._logger.error(message, extra={**self._fields, **fields})

    def exception(self, message: str, **fields: object) -> None:
        """Log a fault with the exception that is being handled."""
        self._logger.exception(message, extra={**self._fields, **fields})
