"""Exceptions raised by cyclamenyoke, with a common base class.

Each exception formats itself for an operator and defines the exit code of the
command that it ends.
"""

from collections.abc import Sequence
from dataclasses import dataclass

EXIT_FAILURE = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault found in a file, with its location.

    :param file: the path as given by the operator.
    :param line: counted from 1.
    :param column: counted from 1.
    :param message: what is wrong, with the parameter and the invalid value.
    """

    file: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.message}"


class CyclamenyokeError(Exception):
    """Base class of all exceptions of this package."""

    exit_code = EXIT_FAILURE

    def format_message(self) -> str:
        """Return the message to print for the operator."""
        return f"error: {self}"


class FindingsError(CyclamenyokeError):
    """One or more files are invalid; nothing was changed.

    :param findings: all faults of all files.
    """

    exit_code = EXIT_FINDINGS

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__(f"{len(findings)} findings")
        self.findings = sorted(findings)

    def format_message(self) -> str:
        lines = [str(finding) for finding in self.findings]
        return "\n".join([*lines, f"error: {len(lines)} findings, nothing published"])


class PublishConflict(CyclamenyokeError):
    """A service was changed by another publish since the edit was started.

    :param service: the service whose edit is based on an outdated revision.
    :param diff: a unified diff from the service in force to the edit.
    """

    exit_code = EXIT_CONFLICT

    def __init__(self, service: str, diff: str) -> None:
        super().__init__(f"service {service!r} was changed since this edit was begun")
        self.service = service
        self.diff = diff

    def format_message(self) -> str:
        return f"error: {self}\n{self.diff}"


class PlatformUnavailable(CyclamenyokeError):
    """The platform's store, or every entry asked, gave no usable response.

    A requested change may or may not have taken effect.
    """

    exit_code = EXIT_UNAVAILABLE


class MalformedValue(CyclamenyokeError):
    """Bytes from outside the process are not a value of the expected type."""


class ProtocolError(CyclamenyokeError):
    """A peer sent bytes that are not a valid message."""


class AuthenticationError(CyclamenyokeError):
    """A peer could not prove that it holds the shared key."""


class InvariantViolation(CyclamenyokeError):
    """An invariant of the system was violated.

    :param invariant: the name of the invariant.
    :param detail: what was observed.
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f"promise {invariant!r} broken: {detail}")
        self.invariant = invariant
        self.detail = detail
