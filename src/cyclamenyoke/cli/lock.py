"""The lock file next to the service files.

It records, for each service, the revision that the next edit is based on.
"""

from collections.abc import Mapping
from pathlib import Path

import yaml

from cyclamenyoke.exceptions import Finding, FindingsError

LOCK_FILE_NAME = "cyclamenyoke.lock"


def read_lock(directory: Path) -> dict[str, int]:
    """Return the revisions of the last publish from a directory.

    :raises FindingsError: when the file does not map service names to revisions.
    """
    path = directory / LOCK_FILE_NAME
    if not path.exists():
        return {}
    data = yaml.safe_load(path.read_text(encoding="utf-8")) or {}
    if not isinstance(data, dict) or not all(
        isinstance(revision, int) for revision in data.values()
    ):
        message = "must map service names to integer revisions"
        raise FindingsError([Finding(str(path), 1, 1, message)])
    return {str(name): revision for name, revision in data.items()}


def write_lock(directory: Path, revisions: Mapping[str, int]) -> None:
    """Record the revisions of a publish from a directory."""
    text = yaml.safe_dump(dict(revisions), sort_keys=True)
    (directory / LOCK_FILE_NAME).write_text(text, encoding="utf-8")
