"""YAML files that cannot be used become findings with their place."""

import pytest

from cyclamenyoke.adapters.yaml_files import load_document

INVALID_FILES = {
    "control character": (b"a: 1\nb: x\x01y\n", 2, 5, "special characters"),
    "list as a key": (b"a: 1\n[1, 2]: x\n", 2, 1, "key is not a text"),
    "mapping as a key": (b"{a: 1}: x\n", 1, 1, "key is not a text"),
    "alias to its own parent": (b"a: &x\n  b: *x\n", 1, 4, "refers to a node"),
    "duplicate key": (b"a: 1\na: 2\n", 2, 1, "duplicate key 'a'"),
    "nested too deeply": (b"[" * 5000, 1, 1, "nested too deeply"),
    "no text": (b"\xff\xfe\x00a", 1, 1, "cannot be read"),
}


@pytest.mark.parametrize("case", INVALID_FILES)
def test_invalid_file_becomes_a_finding_with_its_place(tmp_path, case):
    content, line, column, message = INVALID_FILES[case]
    path = tmp_path / "file.yaml"
    path.write_bytes(content)
    [finding] = load_document(path).failure()
    assert (finding.line, finding.column) == (line, column)
    assert message in finding.message


def test_alias_beside_its_anchor_is_accepted(tmp_path):
    path = tmp_path / "file.yaml"
    path.write_text("a: &x {b: 1}\nc: *x\n")
    assert load_document(path).unwrap().data == {"a": {"b": 1}, "c": {"b": 1}}
