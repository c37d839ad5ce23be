"""Short runs of the soak of real processes, and proof that it detects defects."""

import os

import pytest

from process_soak.networks import free_network
from process_soak.run import Options, play
from process_soak.site import GATEWAY, ROOT

# Tests of several trees on one machine need addresses of their own.
NUMBERS = [40 + (os.getpid() + number) % 200 for number in range(200)]


def play_briefly(directory, profile, seconds, gateway=GATEWAY):
    return play(
        Options(
            seed=1,
            seconds=seconds,
            profile=profile,
            gateways=5,
            callers=60,
            rate=80.0,
            work=0.02,
            events=12,
            grace=8.0,
            slack=40.0,
            busy=0,
            source=ROOT / "src",
            gateway=gateway,
            network=free_network(NUMBERS),
            directory=directory,
        )
    )


@pytest.mark.parametrize(
    "profile", ["planned", "engines", "endless", "malformed", "misstating"]
)
def test_gateways_keep_the_rules_on_real_processes(tmp_path, profile):
    report = play_briefly(tmp_path, profile, 16.0)
    assert report.findings == [], report.text
    assert report.answered > 200


@pytest.mark.parametrize(
    ("mutant", "profile", "rule"),
    [
        ("cuts_on_stop", "planned", "LOST"),
        ("cuts_on_stop", "long_streams", "LOST"),
        ("repeats_orders", "engines", "TWICE"),
        ("passes_any_head", "malformed", "MIXED"),
        ("passes_any_status", "misstating", "REFUSED"),
    ],
)
def test_soak_detects_a_defect_of_real_gateways(tmp_path, mutant, profile, rule):
    gateway = f"process_soak.mutants {mutant}"
    report = play_briefly(tmp_path, profile, 10.0, gateway)
    assert any(finding.startswith(rule) for finding in report.findings), report.text
