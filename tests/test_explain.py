"""From a failed request's id to its cause, on lines of days that were played."""

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
def test_cause_of_a_failed_request_is_told(case, capsys):
    request, signs = CASES[case]
    # Returns its exit code through the application, which ends the process.
    with pytest.raises(SystemExit) as ended:
        app(["explain", request, str(LOGS / f"{case}.log")])
    shown = capsys.readouterr().out
    assert ended.value.code == 0
    for sign in signs:
        assert sign in shown


def test_steps_are_given_as_json(capsys):
    request, _ = CASES["engine-died"]
    with pytest.raises(SystemExit):
        app(["explain", request, str(LOGS / "engine-died.log"), "--json"])
    steps = json.loads(capsys.readouterr().out)
    assert [step["age"] for step in steps] == sorted(
        (step["age"] for step in steps), reverse=True
    )
    assert steps[-1]["what"].startswith("request done")


def test_request_that_is_not_logged_is_an_error():
    with pytest.raises(RequestNotLogged, match="ffff"):
        explain("ffff", read_logs([LOGS / "old-belief.log"]))


def test_text_before_lines_and_cut_lines_are_passed_over(tmp_path):
    path = tmp_path / "log"
    line = (LOGS / "old-belief.log").read_text().splitlines()[0]
    path.write_text(f"  0.3 node {line}\n{line[:40]}\nno line\n")
    assert len(read_logs([path])) == 1
