"""Loads typed data from YAML files and reports findings with line and column.

PyYAML parses the file, cattrs converts and validates the data. This module maps the
path of each error that cattrs reports to the position of that node in the file.
"""

import re
from collections.abc import Callable, Iterator
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

import yaml
from cattrs import (
    BaseValidationError,
    ClassValidationError,
    Converter,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from cattrs.gen import make_dict_structure_fn
from returns.result import Failure, Result, Success

from cyclamenyoke.exceptions import Finding

T = TypeVar("T")
NodePath = tuple[str | int, ...]
"""Keys and indexes that lead from the root of a document to a node."""

_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|min|h|d)")
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
_SCALAR_TYPES = {
    str: (str,),
    int: (int,),
    bool: (bool,),
    float: (int, float),
}


def parse_duration(text: str) -> float:
    """Convert a duration with a unit to seconds.

    >>> parse_duration("470ms")
    0.47
    >>> parse_duration("2min")
    120.0

    :raises ValueError: if the text is not a number with the unit ms, s, min, h or d.
    """
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError(
            f"{text!r} is not a duration (examples: 470ms, 30s, 2min, 24h, 1d)"
        )
    return round(float(match[1]) * _SECONDS_BY_UNIT[match[2]], 9)


def _structure_scalar(value: Any, target: type) -> Any:
    if isinstance(value, bool) and target is not bool:
        raise ValueError(f"{value!r} is not of type {target.__name__}")
    if target is float and isinstance(value, str):
        return parse_duration(value)
    if not isinstance(value, _SCALAR_TYPES[target]):
        raise ValueError(f"{value!r} is not of type {target.__name__}")
    return target(value)


def _structure_enum(value: Any, target: type[Enum]) -> Enum:
    try:
        return target(value)
    except ValueError:
        allowed = ", ".join(str(member.value) for member in target)
        raise ValueError(f"{value!r} is not one of: {allowed}") from None


def _create_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for scalar in _SCALAR_TYPES:
        converter.register_structure_hook(scalar, _structure_scalar)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, Enum),
        _structure_enum,
    )
    converter.register_structure_hook_factory(
        is_dataclass, lambda kind: _structure_class(converter, kind)
    )
    return converter


def _structure_class(converter: Converter, kind: type) -> Callable[[Any, Any], Any]:
    structure_fields: Any = make_dict_structure_fn(kind, converter)

    def structure_mapping(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            names = ", ".join(item.name for item in fields(kind))
            raise ValueError(f"{value!r} is not a mapping (allowed keys: {names})")
        return structure_fields(value, target)

    return structure_mapping


_CONVERTER = _create_converter()


class YamlDocument:
    """A parsed YAML file with the position of each node.

    :param path: path of the file, for findings.
    :param root: the node tree.
    :param data: the content as plain Python data.
    """

    __slots__ = ("_path", "_root", "_data")

    def __init__(self, path: Path, root: yaml.Node | None, data: Any) -> None:
        self._path = path
        self._root = root
        self._data = data

    @property
    def data(self) -> Any:
        """The content as plain Python data."""
        return self._data

    def finding(self, path: NodePath, message: str) -> Finding:
        """Return a finding at the node at ``path`` or its nearest existing parent."""
        mark = self._find_mark(path)
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        return Finding(str(self._path), line, column, message)

    def _find_mark(self, path: NodePath) -> yaml.Mark | None:
        node = self._root
        mark = node.start_mark if node else None
        for step in path:
            child = _find_child(node, step)
            if child is None:
                break
            mark, node = child
        return mark


def _find_child(node: Any, step: str | int) -> tuple[yaml.Mark, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return key.start_mark, value
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
        item = node.value[step]
        return item.start_mark, item
    return None


def load_document(path: Path) -> Result[YamlDocument, list[Finding]]:
    """Parse a file; syntax errors and invalid keys are returned as findings."""
    try:
        text = path.read_text(encoding="utf-8")
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        problems = list(_invalid_nodes(root, ()))
        if problems:
            return Failure(
                [
                    Finding(str(path), mark.line + 1, mark.column + 1, message)
                    for mark, message in problems
                ]
            )
        return Success(YamlDocument(path, root, yaml.safe_load(text)))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        return Failure([Finding(str(path), line, column, str(error.problem))])
    except yaml.reader.ReaderError as error:
        line, column = _line_and_column(text, error.position)
        return Failure([Finding(str(path), line, column, error.reason)])
    except RecursionError:
        return Failure([Finding(str(path), 1, 1, "nested too deeply")])
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Finding(str(path), 1, 1, f"cannot be read: {error}")])


def _line_and_column(text: str, position: int) -> tuple[int, int]:
    """Return the place of a character, counted from 1."""
    before = text[:position]
    return before.count("\n") + 1, position - before.rfind("\n")


def _invalid_nodes(
    node: yaml.Node | None, parents: tuple[yaml.Node, ...]
) -> Iterator[tuple[yaml.Mark, str]]:
    """Yield the keys and aliases that a document may not contain, with their places.

    The place of an alias is that of its anchor, the only one that the parser keeps.

    :param parents: the nodes that contain this one.
    """
    if node is not None and any(node is parent for parent in parents):
        yield node.start_mark, "an alias refers to a node that contains it"
        return
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if not isinstance(key, yaml.ScalarNode):
                yield key.start_mark, "a key is not a text or number"
                continue
            if key.value in seen:
                yield key.start_mark, f"duplicate key {key.value!r}"
            seen.add(str(key.value))
            yield from _invalid_nodes(value, (*parents, node))
    if isinstance(node, yaml.SequenceNode):
        for item in node.value:
            yield from _invalid_nodes(item, (*parents, node))


def structure(document: YamlDocument, kind: type[T]) -> Result[T, list[Finding]]:
    """Convert a document to a data class, or return all findings."""
    try:
        return Success(_CONVERTER.structure(document.data, kind))
    except (BaseValidationError, ValueError) as error:
        return Failure(
            [document.finding(path, text) for path, text in _leaf_errors(error, ())]
        )


def _leaf_errors(
    error: BaseException, path: NodePath
) -> Iterator[tuple[NodePath, str]]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        yield from _group_leaf_errors(error, path)
        return
    for kind, format_error in _FORMATTERS.items():
        if isinstance(error, kind):
            yield from format_error(error, path)
            return
    yield path, f"{_name_prefix(path)}{error}"


def _group_leaf_errors(
    error: ClassValidationError | IterableValidationError, path: NodePath
) -> Iterator[tuple[NodePath, str]]:
    noted, plain = error.group_exceptions()
    for inner, note in noted:
        step = note.name if hasattr(note, "name") else note.index
        yield from _leaf_errors(inner, (*path, step))
    for inner in plain:
        yield from _leaf_errors(inner, path)


def _format_extra_keys(error: Any, path: NodePath) -> Iterator[tuple[NodePath, str]]:
    for name in sorted(error.extra_fields):
        yield (*path, name), f"unknown key {name!r}"


def _format_missing_key(error: Any, path: NodePath) -> Iterator[tuple[NodePath, str]]:
    yield path[:-1], f"key {error.args[0]!r} is missing"


def _format_type_error(error: Any, path: NodePath) -> Iterator[tuple[NodePath, str]]:
    is_scalar = "not iterable" in str(error)
    yield path, f"{_name_prefix(path)}{'must be a list' if is_scalar else error}"


_FORMATTERS: dict[type[Exception], Callable[..., Iterator[tuple[NodePath, str]]]] = {
    ForbiddenExtraKeysError: _format_extra_keys,
    KeyError: _format_missing_key,
    TypeError: _format_type_error,
}


def _name_prefix(path: NodePath) -> str:
    names = [step for step in path if isinstance(step, str)]
    return f"{names[-1]}: " if names else ""
