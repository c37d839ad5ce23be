"""Merges a publish into the index in force, service by service.

A publish names, for each service, the revision that the edit was made from. An
edit whose base is no longer the revision in force is stale, unless it says the
same as what is in force. Changes of other services never conflict.
"""

from dataclasses import dataclass

from cyclamenyoke.core.config import ConfigIndex


@dataclass(frozen=True, slots=True)
class Edit:
    """One service of a publish.

    :param base: the revision that the edit was made from.
    :param digest: the blob that defines the service.
    """

    service: str
    base: int
    digest: str


@dataclass(frozen=True, slots=True)
class MergeResult:
    """The result of merging a publish.

    :param index: the index to write, or ``None`` when nothing changes.
    :param stale: the services whose edit is stale; then nothing is written.
    """

    index: ConfigIndex | None
    stale: list[str]


def merge(
    index: ConfigIndex, edits: list[Edit], publish_id: str, author: str, now: float
) -> MergeResult:
    """Merge a publish into an index.

    :param publish_id: unique to the publish; one that the index already holds
        changes nothing.
    """
    if index.has_publish(publish_id):
        return MergeResult(None, [])
    changed: dict[str, str] = {}
    stale: list[str] = []
    for edit in edits:
        present = index.services.get(edit.service)
        if present is not None and present.digest == edit.digest:
            continue
        revision = present.revision if present else 0
        if edit.base != revision:
            stale.append(edit.service)
        changed[edit.service] = edit.digest
    if stale or not changed:
        return MergeResult(None, stale)
    return MergeResult(index.with_services(changed, publish_id, author, now), [])
