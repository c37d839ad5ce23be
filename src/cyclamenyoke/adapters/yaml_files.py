"""Typed data from YAML files, with every finding at its line and column.

PyYAML parses, cattrs converts and checks; this module only joins the path of
each error that cattrs reports with the place of that node in the file.
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
Place = tuple[str | int, ...]

_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|min|h|d)")
_SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0, "d": 86400.0}
_SIMPLE_TYPES = {
    str: (str,),
    int: (int,),
    bool: (bool,),
    float: (int, float),
}


def parse_duration(text: str) -> float:
    """Return the seconds that a text with a unit stands for.

    >>> parse_duration("470ms")
    0.47
    >>> parse_duration("2min")
    120.0

    :raises ValueError: without a number and one of the units ms, s, min, h, d.
    """
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise ValueError(f"{text!r} is no duration such as 470ms, 30s, 2min, 24h or 1d")
    return round(float(match[1]) * _SECONDS[match[2]], 9)


def _structure_simple(value: Any, target: type) -> Any:
    if isinstance(value, bool) and target is not bool:
        raise ValueError(f"{value!r} is not of type {target.__name__}")
    if target is float and isinstance(value, str):
        return parse_duration(value)
    if not isinstance(value, _SIMPLE_TYPES[target]):
        raise ValueError(f"{value!r} is not of type {target.__name__}")
    return target(value)


def _structure_enum(value: Any, target: type[Enum]) -> Enum:
    try:
        return target(value)
    except ValueError:
        allowed = ", ".join(str(member.value) for member in target)
        raise ValueError(f"{value!r} is none of: {allowed}") from None


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True, detailed_validation=True)
    for simple in _SIMPLE_TYPES:
        converter.register_structure_hook(simple, _structure_simple)
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

    def check_mapping(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            names = ", ".join(item.name for item in fields(kind))
            raise ValueError(f"{value!r} is no mapping with the keys {names}")
        return structure_fields(value, target)

    return check_mapping


_CONVERTER = _make_converter()


class YamlDocument:
    """A parsed YAML file that knows the place of each node.

    :param path: the file.
    :param root: the composed node tree.
    :param data: the same as plain data.
    """

    __slots__ = ("_path", "_root", "_data")

    def __init__(self, path: Path, root: yaml.Node | None, data: Any) -> None:
        self._path = path
        self._root = root
        self._data = data

    @property
    def data(self) -> Any:
        """The file's content as plain data."""
        return self._data

    def finding(self, place: Place, message: str) -> Finding:
        """Return a finding at the node that ``place`` names, or at its parent."""
        mark = self._mark(place)
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        return Finding(str(self._path), line, column, message)

    def _mark(self, place: Place) -> yaml.Mark | None:
        node = self._root
        mark = node.start_mark if node else None
        for step in place:
            child = _child(node, step)
            if child is None:
                break
            mark, node = child
        return mark


def _child(node: Any, step: str | int) -> tuple[yaml.Mark, yaml.Node] | None:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return key.start_mark, value
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int):
        item = node.value[step]
        return item.start_mark, item
    return None


def load_document(path: Path) -> Result[YamlDocument, list[Finding]]:
    """Parse a file; a syntax error is a finding."""
    try:
        text = path.read_text(encoding="utf-8")
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        duplicates = list(_duplicate_keys(root))
        document = YamlDocument(path, root, yaml.safe_load(text))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        return Failure([Finding(str(path), line, column, str(error.problem))])
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Finding(str(path), 1, 1, f"cannot be read: {error}")])
    findings = [
        Finding(str(path), key.start_mark.line + 1, key.start_mark.column + 1, message)
        for key, message in duplicates
    ]
    return Failure(findings) if findings else Success(document)


def _duplicate_keys(node: yaml.Node | None) -> Iterator[tuple[yaml.Node, str]]:
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key, value in node.value:
            if key.value in seen:
                yield key, f"key {key.value!r} stands twice"
            seen.add(str(key.value))
            yield from _duplicate_keys(value)
    if isinstance(node, yaml.SequenceNode):
        for item in node.value:
            yield from _duplicate_keys(item)


def structure(document: YamlDocument, kind: type[T]) -> Result[T, list[Finding]]:
    """Convert a document to a data class, or return all its findings."""
    try:
        return Success(_CONVERTER.structure(document.data, kind))
    except (BaseValidationError, ValueError) as error:
        return Failure(
            [document.finding(place, text) for place, text in _leaves(error, ())]
        )


def _leaves(error: BaseException, place: Place) -> Iterator[tuple[Place, str]]:
    if isinstance(error, ClassValidationError | IterableValidationError):
        yield from _group_leaves(error, place)
        return
    for kind, explain in _EXPLANATIONS.items():
        if isinstance(error, kind):
            yield from explain(error, place)
            return
    yield place, f"{_name(place)}{error}"


def _group_leaves(
    error: ClassValidationError | IterableValidationError, place: Place
) -> Iterator[tuple[Place, str]]:
    noted, plain = error.group_exceptions()
    for inner, note in noted:
        step = note.name if hasattr(note, "name") else note.index
        yield from _leaves(inner, (*place, step))
    for inner in plain:
        yield from _leaves(inner, place)


def _explain_extra(error: Any, place: Place) -> Iterator[tuple[Place, str]]:
    for name in sorted(error.extra_fields):
        yield (*place, name), f"unknown key {name!r}"


def _explain_missing(error: Any, place: Place) -> Iterator[tuple[Place, str]]:
    yield place[:-1], f"key {error.args[0]!r} is missing"


def _explain_type(error: Any, place: Place) -> Iterator[tuple[Place, str]]:
    is_scalar = "not iterable" in str(error)
    yield place, f"{_name(place)}{'must be a list' if is_scalar else error}"


_EXPLANATIONS: dict[type[Exception], Callable[..., Iterator[tuple[Place, str]]]] = {
    ForbiddenExtraKeysError: _explain_extra,
    KeyError: _explain_missing,
    TypeError: _explain_type,
}


def _name(place: Place) -> str:
    names = [step for step in place if isinstance(step, str)]
    return f"{names[-1]}: " if names else ""
