"""Merges a publish into the current configuration index, service by service.

A publish names, for each service, the revision that the edit is based on. An edit
is stale if the service has another revision by now, unless that revision already has
the definition in the edit. Edits of different services never conflict.
"""

from dataclasses import dataclass

from cyclamenyoke.core.config import ConfigIndex


@dataclass(frozen=True, slots=True)
class Edit:
    """The change of one service in a publish.

    :param base: the revision that the edit is based on; 0 for a new service.
    :param digest: digest of the blob that defines the service.
    """

    service: str
    base: int
    digest: str


@dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of merging a publish.

    :param index: the index to write, or ``None`` when nothing changes.
    :param stale: the services whose edit is stale; if there are any, nothing is
        written.
    """

    index: ConfigIndex | None
    stale: list[str]


def merge(
    index: ConfigIndex, edits: list[Edit], publish_id: str, author: str, now: float
) -> MergeResult:
    """Merge a publish into an index.

    :param publish_id: unique id; a repeated publish changes nothing while its id is
        still in the history of the index.
    :param now: Unix time in seconds.
    """
    if index.has_publish(publish_id):
        return MergeResult(None, [])
    changed: dict[str, str] = {}
    stale: list[str] = []
    for edit in edits:
        current = index.services.get(edit.service)
        if current is not None and current.digest == edit.digest:
            continue
        revision = current.revision if current else 0
        if edit.base != revision:
            stale.append(edit.service)
        changed[edit.service] = edit.digest
    if stale or not changed:
        return MergeResult(None, stale)
    return MergeResult(index.with_services(changed, publish_id, author, now), [])
