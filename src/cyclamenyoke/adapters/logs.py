"""Structured logging with logbook: one JSON object per line."""

import logging
import sys
from datetime import UTC, datetime
from typing import Any, TextIO

import msgspec
from logbook import WARNING, Handler, Logger, StreamHandler, lookup_level
from logbook.compat import RedirectLoggingHandler

from cyclamenyoke.adapters.line_writer import LineWriter

_LINE_ENCODER = msgspec.json.Encoder(enc_hook=str)


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
    return _LINE_ENCODER.encode(fields).decode()


def install_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Write the logs of this process and its libraries to a stream.

    :param level: name of the lowest level that is written.
    """
    handler = StreamHandler(stream, level=lookup_level(level.upper()))
    handler.formatter = _format_line
    _install_handler(handler)


class _LineHandler(Handler):  # type: ignore[misc]
    """Passes each record to a :class:`LineWriter`."""

    def __init__(self, writer: LineWriter, level: int) -> None:
        super().__init__(level)
        self._writer = writer

    def emit(self, record: Any) -> None:
        line = _format_line(record, self).encode() + b"\n"
        self._writer.write(line, is_urgent=record.level >= WARNING)


def _format_drop_report(count: int) -> bytes:
    """Return the log line that reports how many lines were dropped before it."""
    fields = {
        "time": datetime.now(UTC)
        .replace(tzinfo=None)
        .isoformat(timespec="milliseconds"),
        "level": "warning",
        "logger": "logs",
        "message": "log lines dropped",
        "count": count,
    }
    return _LINE_ENCODER.encode(fields) + b"\n"


def install_nonblocking_logs(level: str, descriptor: int) -> LineWriter:
    """Write the logs of this process and its libraries without blocking on the reader.

    :param level: name of the lowest level that is written.
    :param descriptor: file descriptor that lines are written to.
    :returns: the writer, which must be closed before the process exits.
    """
    writer = LineWriter(descriptor, _format_drop_report)
    _install_handler(_LineHandler(writer, lookup_level(level.upper())))
    return writer


def _install_handler(handler: Handler) -> None:
    """Pass all records of logbook and warnings of the logging module to a handler.

    uvicorn's own log is disabled, since it reports each response that is aborted on
    purpose.
    """
    handler.push_application()
    root = logging.getLogger()
    root.handlers = [RedirectLoggingHandler()]
    root.setLevel(logging.WARNING)
    logging.getLogger("uvicorn.error").disabled = True


class Log:
    """A logger that adds fixed fields to each line.

    :param channel: value of the ``logger`` key.
    :param fields: further keys of every line.
    """

    def __init__(self, channel: str, **fields: object) -> None:
        self._logger = Logger(channel)
        self._fields = fields

    def debug(self, message: str, **fields: object) -> None:
        """Log details for developers."""
        self._logger.debug(message, extra={**self._fields, **fields})

    def info(self, message: str, **fields: object) -> None:
        """Log an ordinary event."""
        self._logger.info(message, extra={**self._fields, **fields})

    def warning(self, message: str, **fields: object) -> None:
        """Log a condition that an operator may have to act on."""
        self._logger.warning(message, extra={**self._fields, **fields})

    def error(self, message: str, **fields: object) -> None:
        """Log a failure."""
        self._logger.error(message, extra={**self._fields, **fields})

    def failure(self, message: str, error: BaseException, **fields: object) -> None:
        """Log an error that is not being handled, with its traceback."""
        exc_info = (type(error), error, error.__traceback__)
        self._logger.error(message, exc_info=exc_info, extra={**self._fields, **fields})

    def exception(self, message: str, **fields: object) -> None:
        """Log a failure with the exception that is being handled."""
        self._logger.exception(message, extra={**self._fields, **fields})
