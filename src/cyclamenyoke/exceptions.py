"""The errors of cyclamenyoke, under one base.

Each error can print itself to an operator and names the exit code of a command
that ends with it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

EXIT_FAILURE = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault in a file, with its place.

    :param file: the path as the operator gave it.
    :param line: counted from 1.
    :param column: counted from 1.
    :param message: what is wrong, with the parameter and the bad value.
    """

    file: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.message}"


class CyclamenyokeError(Exception):
    """The base of all errors of this package."""

    exit_code = EXIT_FAILURE

    def format_message(self) -> str:
        """Return the text that an operator reads."""
        return f"error: {self}"


class FindingsError(CyclamenyokeError):
    """One or more files are faulty; nothing was changed.

    :param findings: every fault of every file.
    """

    exit_code = EXIT_FINDINGS

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__(f"{len(findings)} findings")
        self.findings = sorted(findings)

    def format_message(self) -> str:
        lines = [str(finding) for finding in self.findings]
        return "\n".join([*lines, f"error: {len(lines)} findings, nothing published"])


class PublishConflict(CyclamenyokeError):
    """A service was changed by somebody else since the files were taken.

    :param service: the service whose edit is stale.
    :param diff: a unified diff from the edit to what is in force.
    """

    exit_code = EXIT_CONFLICT

    def __init__(self, service: str, diff: str) -> None:
        super().__init__(f"service {service!r} was changed since this edit was begun")
        self.service = service
        self.diff = diff

    def format_message(self) -> str:
        return f"error: {self}\n{self.diff}"


class PlatformUnavailable(CyclamenyokeError):
    """The platform's key-value service gave no usable answer.

    The change that was asked for may or may not have taken effect.
    """

    exit_code = EXIT_UNAVAILABLE


class ProtocolError(CyclamenyokeError):
    """A peer sent bytes that are not a valid message."""


class AuthenticationError(CyclamenyokeError):
    """A peer could not prove that it holds the shared key."""


class InvariantViolation(CyclamenyokeError):
    """A promise of the system was broken.

    :param invariant: the name of the promise.
    :param detail: what was seen.
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f"promise {invariant!r} broken: {detail}")
        self.invariant = invariant
        self.detail = detail
