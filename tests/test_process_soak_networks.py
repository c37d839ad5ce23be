"""Runs of the soak of processes hold their addresses alone."""

import os
import signal
import socket
import subprocess
import sys
from contextlib import closing
from itertools import islice
from pathlib import Path

import pytest

from process_soak.__main__ import main
from process_soak.networks import (
    LOCK_PORT,
    InvalidNetwork,
    NetworkInUse,
    free_network,
    gateway_ip,
    hold,
    parse_network,
    service_addresses,
)
from process_soak.site import PORTS, ROOT

NUMBERS = range(32, 40)

HOLDING = """
import sys, time
from process_soak.networks import hold
with hold(sys.argv[1], 1, ()):
    print("held", flush=True)
    time.sleep(60)
"""


@pytest.fixture
def network():
    return free_network(NUMBERS)


@pytest.mark.parametrize("text", ["127.1", "127.20", "127.171", "127.254"])
def test_networks_that_gateways_can_have_are_accepted(text):
    assert parse_network(text) == text


@pytest.mark.parametrize(
    "text",
    ["171", "127", "127.0", "127.255", "127.256", "127.020", "10.20", "127.20.1", ""],
)
def test_other_networks_are_rejected(text):
    with pytest.raises(InvalidNetwork, match="expected 127.N with N from 1 to 254"):
        parse_network(text)


def test_command_rejects_a_wrong_network(monkeypatch, capsys):
    monkeypatch.setattr(sys, "argv", ["process_soak", "--network", "171"])
    with pytest.raises(SystemExit) as caught:
        main()
    assert caught.value.code == 2
    assert "network '171': expected 127.N" in capsys.readouterr().err


def test_command_refuses_a_network_in_use(monkeypatch, capsys, tmp_path, network):
    kept = tmp_path / "1-planned" / "run.jsonl"
    kept.parent.mkdir()
    kept.touch()
    words = ["--network", network, "--directory", str(tmp_path), "--seconds", "1"]
    monkeypatch.setattr(sys, "argv", ["process_soak", *words, "--profile", "planned"])
    with hold(network, 1, ()):
        assert main() == 2
    assert f"network {network} is in use" in capsys.readouterr().err
    # The records of the other run.
    assert kept.exists()


def test_network_is_free_again_after_a_run(network):
    for _ in range(2):
        with hold(network, 3, PORTS.values()):
            pass


def test_runs_in_other_networks_do_not_disturb_each_other(network):
    with hold(network, 3, PORTS.values()):
        other = free_network(NUMBERS)
        assert other != network
        with hold(other, 3, PORTS.values()):
            pass


def test_network_is_free_again_when_its_process_is_killed(network):
    child = subprocess.Popen(
        [sys.executable, "-c", HOLDING, network],
        env=os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'tests'}"},
        stdout=subprocess.PIPE,
        text=True,
    )
    with child:
        assert child.stdout.readline() == "held\n"
        with pytest.raises(NetworkInUse), hold(network, 1, ()):
            pass
        child.send_signal(signal.SIGKILL)
        child.wait()
    with hold(network, 1, ()):
        pass


def test_child_processes_do_not_hold_the_network(network):
    with hold(network, 1, ()):
        child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=-1)
    try:
        with hold(network, 1, ()):
            pass
    finally:
        child.kill()
        child.wait()


def test_gateway_that_another_run_has_left_is_reported(network):
    port = PORTS["front"]
    ip = gateway_ip(network, 2)
    with (
        closing(socket.create_server((ip, port))),
        pytest.raises(NetworkInUse, match=f"{ip}:{port} is taken"),
        hold(network, 3, PORTS.values()),
    ):
        pass


def test_lock_uses_no_port_of_gateways():
    assert LOCK_PORT not in PORTS.values()


# Guards against a port that another process gets between its choice and its use.
def test_services_of_a_run_get_no_address_that_others_may_have():
    drawn = [
        address
        for network in ("127.20", "127.21")
        for address in islice(service_addresses(network), 40)
    ]
    assert len(set(drawn)) == 80
    range_of_others = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first_of_others = int(range_of_others.split()[0])
    assert all(int(each.rpartition(":")[2]) < first_of_others for each in drawn)
