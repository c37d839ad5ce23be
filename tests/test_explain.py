"""``cyclamenyoke explain`` finds the cause of a failed request in recorded logs."""

import json
from pathlib import Path

import pytest

from cyclamenyoke.cli.explain import RequestNotLogged, explain, read_logs
from cyclamenyoke.cli.main import app

LOGS = Path(__file__).parent / "logs"
CASES = {
    "stream-refused": ("b90c0fa581c27ea0", ["no room in time", "retry_after"]),
    "engine-died": (
        "4820cc88a50dc8be",
        ["outcome unknown", "lost after", "other failures there"],
    ),
    "old-belief": ("70a15cf961f14d66", ["no_route", "configuration in force 7"]),
}


@pytest.mark.parametrize("case", CASES)
def test_explain_prints_the_cause_of_a_failed_request(case, capsys):
    request, expected = CASES[case]
    # The application passes the command's exit code to sys.exit().
    with pytest.raises(SystemExit) as raised:
        app(["explain", request, str(LOGS / f"{case}.log")])
    output = capsys.readouterr().out
    assert raised.value.code == 0
    for text in expected:
        assert text in output


def test_timeline_is_printed_as_json(capsys):
    request, _ = CASES["engine-died"]
    with pytest.raises(SystemExit):
        app(["explain", request, str(LOGS / "engine-died.log"), "--json"])
    timeline = json.loads(capsys.readouterr().out)
    assert [event["age"] for event in timeline] == sorted(
        (event["age"] for event in timeline), reverse=True
    )
    assert timeline[-1]["what"].startswith("request done")


def test_request_that_is_not_logged_is_an_error():
    with pytest.raises(RequestNotLogged, match="ffff"):
        explain("ffff", read_logs([LOGS / "old-belief.log"]))


def test_prefixes_are_stripped_and_invalid_lines_skipped(tmp_path):
    path = tmp_path / "log"
    line = (LOGS / "old-belief.log").read_text().splitlines()[0]
    path.write_text(f"  0.3 node {line}\n{line[:40]}\nno line\n")
    assert len(read_logs([path])) == 1


def test_line_of_an_entry_which_only_names_its_attempts_is_explained(tmp_path):
    path = tmp_path / "log"
    fields = {"time": "2026-12-04T10:00:00.000", "message": "request ended"}
    path.write_text(
        json.dumps(
            {
                **fields,
                "request": "r1",
                "attempts": ["entry@1#4"],
                "outcome": "answered",
            }
        )
        + "\n"
        + json.dumps({**fields, "request": "r2", "attempts": [["e", "lost", 1, 0, 1]]})
    )
    [event] = explain("r1", read_logs([path]))
    assert event.what == "request ended: outcome answered"
    assert len(explain("r2", read_logs([path]))) == 2


def test_end_of_each_attempt_and_shared_prompt_parts_are_explained(tmp_path):
    path = tmp_path / "log"
    attempt = ["i-1", "lost", 2, 0.001, 0.2, 0.24, 0, "connection closed"]
    fields = {"time": "2026-12-04T10:00:00.000", "message": "request done"}
    fields |= {"request": "r1", "attempts": [attempt], "shared_parts": ["5c", "91"]}
    path.write_text(json.dumps(fields))
    first, last = explain("r1", read_logs([path]))
    assert "ended after 0.24 s and 0 events (connection closed)" in first.what
    assert "shared_parts ['5c', '91']" in last.what
