"""The demo runs a complete session; every step must succeed."""

import asyncio

from cyclamenyoke.daemon.demo import run_demo


def test_demo_passes_every_step(capsys):
    assert asyncio.run(run_demo()) == 0
    assert "it ran once" in capsys.readouterr().out
