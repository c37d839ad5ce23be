"""Starts, stops, outages of the store, and news between gateways."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from cyclamenyoke.platform.settings import load_settings
from cyclamenyoke.standins.platform import Faults
from site_fixture import (
    HOST,
    call,
    caller_headers,
    configuration,
    connect,
    encode,
    free_port,
    read_answer,
    route,
    running_site,
)


async def set_faults(site, **faults):
    site.platform.state.faults = Faults(**faults)
    await site.notify()


async def test_node_without_a_configuration_refuses_with_a_promise():
    async with running_site(gateways=0, config=False) as site:
        node = await site.add_gateway(ready=False)
        await asyncio.sleep(0.3)
        assert not await site.is_ready(node)
        answer = await site.ask(node, "/lookup/a")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        site.publish(configuration(1))
        await site.notify()
        await site.until(lambda: site.is_ready(node))
        assert (await site.ask(node, "/lookup/a")).status == 200


async def test_node_that_starts_while_the_store_is_away_serves_when_it_is_back():
    async with running_site(gateways=0) as site:
        await set_faults(site, down=True)
        node = await site.add_gateway(ready=False)
        await asyncio.sleep(0.3)
        assert (await site.ask(node, "/lookup/a")).status == 503
        await set_faults(site)
        await site.until(lambda: site.is_ready(node), 4)


async def ask_when_it_listens(site, node) -> tuple[float, object]:
    """Ask a node as soon as it takes connections; return seconds and answer."""
    async with asyncio.timeout(2):
        while True:
            begun_at = time.monotonic()
            try:
                answer = await site.ask(node, "/lookup/a")
            except ConnectionRefusedError:
                await asyncio.sleep(0.001)
                continue
            return time.monotonic() - begun_at, answer


async def test_request_before_the_first_read_of_the_store_waits_for_it():
    async with running_site(gateways=0) as site:
        await set_faults(site, delay=0.05)
        node = await site.add_gateway(ready=False)
        _, answer = await ask_when_it_listens(site, node)
        assert answer.status == 200


async def test_request_before_the_first_read_is_refused_soon_if_the_store_is_away():
    async with running_site(gateways=0) as site:
        await set_faults(site, delay=3)
        node = await site.add_gateway(ready=False)
        seconds, answer = await ask_when_it_listens(site, node)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert seconds < 0.4
        # Later ones do not wait at all.
        begun_at = time.monotonic()
        assert (await site.ask(node, "/lookup/a")).status == 503
        assert time.monotonic() - begun_at < 0.1


async def test_new_version_is_in_force_on_all_nodes_and_old_routes_go():
    async with running_site(gateways=3) as site:
        config = configuration(2)
        config["routes"] = [route("new", "safe", "app")]
        site.publish(config)
        await site.notify()
        await asyncio.sleep(0.5)
        for _, node, _ in site.gateways:
            assert (await site.ask(node, "/new/a")).status == 200
            assert (await site.ask(node, "/lookup/a")).status == 404


async def test_older_and_unreadable_versions_change_nothing():
    async with running_site() as site:
        node = site.gateways[0][1]
        site.publish({**configuration(5), "routes": [route("new", "safe", "app")]})
        await site.notify()
        await asyncio.sleep(0.2)
        for value in (b"{broken", b'{"version": 9}'):
            site.platform.put("op/config", value)
            await site.notify()
        site.publish(configuration(4))
        await site.notify()
        await asyncio.sleep(0.2)
        assert (await site.ask(node, "/new/a")).status == 200
        assert (await site.ask(node, "/lookup/a")).status == 404


async def test_node_that_the_store_refuses_gets_the_configuration_from_peers():
    async with running_site(gateways=2) as site:
        refused = site.gateways[1][0]
        await asyncio.sleep(0.6)
        await refused._store.close()
        refused._store._address = "127.0.0.1:1"
        site.publish({**configuration(2), "routes": [route("new", "safe", "app")]})
        await site.notify()
        node = site.gateways[1][1]

        async def serves_the_new_route():
            return (await site.ask(node, "/new/a")).status == 200

        await site.until(serves_the_new_route, 2.0)


async def test_serving_goes_on_while_the_store_is_away():
    async with running_site(gateways=2) as site:
        await set_faults(site, down=True)
        await asyncio.sleep(1.5)
        for _, node, _ in site.gateways:
            assert (await site.ask(node, "/lookup/a")).status == 200


async def test_leaving_engine_gets_no_new_work_on_any_node_within_the_bound():
    async with running_site(gateways=3) as site:
        leaving = site.engines["i-app-0"]
        site.platform.put("servers/i-app-0", leaving.entry("app", "draining"))
        await asyncio.sleep(1.5)
        before = len(leaving.state.received)
        for _ in range(4):
            for _, node, _ in site.gateways:
                assert (await site.ask(node, "/lookup/a")).status == 200
        assert len(leaving.state.received) == before


async def test_one_node_reads_the_list_for_all():
    async with running_site(gateways=3) as site:
        await asyncio.sleep(1.5)
        before = dict(site.platform.state.calls)
        await asyncio.sleep(3.0)
        reads = site.platform.state.calls["range"] - before["range"]
        assert reads <= 3.0 / 0.5 + 2


async def test_planned_stop_cuts_nothing_and_takes_the_node_out_of_the_directory():
    async with running_site(gateways=2) as site:
        for engine in site.engines.values():
            engine.event_interval = 0.15
        (stopping, node, task), (_, other, _) = site.gateways
        await asyncio.sleep(0.5)
        reader, writer = await connect(node.callers)
        writer.write(encode("POST", "/stream/a", caller_headers(), b"{}"))
        await asyncio.sleep(0.2)
        stopping.stop()
        await asyncio.sleep(0.1)
        assert not await site.is_ready(node)
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"
        given = await call(other.directory, "GET", path, {"Host": "d"})
        assert node.callers.encode() not in given.body
        late = await site.ask(node, "/lookup/a")
        assert late.status == 200
        assert late.headers["connection"] == "close"
        answer = await read_answer(reader)
        assert answer.is_whole
        writer.close()
        await asyncio.wait_for(task, 6)


async def test_new_node_is_found_by_all_within_a_second():
    async with running_site(gateways=2) as site:
        node = await site.add_gateway()
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"

        async def is_given_out():
            answers = [
                await call(each.directory, "GET", path, {"Host": "d"})
                for _, each, _ in site.gateways
            ]
            return all(node.callers.encode() in answer.body for answer in answers)

        await site.until(is_given_out, 1.0)


async def test_forged_datagrams_are_refused():
    async with running_site(gateways=1) as site:
        gateway, node, _ = site.gateways[0]
        await asyncio.sleep(0.2)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(node.ip, node.peer_port)
        )
        transport.sendto(b"\x00" * 64)
        await asyncio.sleep(0.2)
        transport.close()
        assert gateway._metrics.counter("exchange_refused") == 1


@pytest.mark.parametrize("path", ["/metrics", "/"])
async def test_metrics_are_served_as_text(path):
    async with running_site() as site:
        node = site.gateways[0][1]
        await site.ask(node, "/lookup/a")
        address = f"{node.ip}:{node.metrics_port}"
        answer = await call(address, "GET", path, {"Host": "m"})
        assert b"cyclamenyoke_requests_total" in answer.body
        assert b'cyclamenyoke_first_byte_seconds{service="app"' in answer.body


def test_faulty_settings_end_the_process_with_all_findings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('node = 5\nip = "10.0.0.1"\n')
    done = subprocess.run(
        [sys.executable, "-m", "cyclamenyoke.daemon.gateway"],
        env={**os.environ, "CYCLAMENYOKE_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert done.returncode == 2
    for field in ("node", "zone", "bounds", "platform"):
        assert field in done.stderr


async def test_faulty_reload_changes_nothing_and_is_told():
    async with running_site() as site:
        gateway, node, _ = site.gateways[0]
        gateway.reload()
        assert (await site.ask(node, "/lookup/a")).status == 200


def write_settings(path, **bounds) -> str:
    """Write a settings file of one node; return its callers' address."""
    ip = "127.0.2.1"
    ports = [free_port(ip) for _ in range(4)]
    lines = "\n".join(f"{name} = {value}" for name, value in bounds.items())
    path.write_text(
        f"""
node = "n"
ip = "{ip}"
zone = "z"
region = "r"
internal_ports = [{ports[3]}, {ports[3]}]
[listen]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
directory = "{ip}:{ports[2]}"
[bounds]
drain_ms = 2000
grace_s = 4
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 191
budget_window_s = 10
{lines}
[platform]
address = "127.0.0.1:1"
"""
    )
    return f"{ip}:{ports[0]}"


def start_process(path) -> subprocess.Popen:
    """Start a gateway process whose output nobody reads yet."""
    return subprocess.Popen(
        [sys.executable, "-m", "cyclamenyoke.daemon.gateway"],
        env={**os.environ, "CYCLAMENYOKE_NODE_FILE": str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )


def test_signals_reload_and_stop_a_process(tmp_path):
    path = tmp_path / "node.toml"
    write_settings(path)
    process = start_process(path)
    try:
        lines = iter(process.stdout.readline, "")
        assert any('"started"' in line for line in lines)
        time.sleep(0.3)
        process.send_signal(signal.SIGHUP)
        assert any('"settings reloaded"' in line for line in lines)
        path.write_text("broken [")
        assert any('"settings not reloaded"' in line for line in lines)
        process.send_signal(signal.SIGTERM)
        assert any('"stopped"' in line for line in lines)
        assert process.wait(5) == 0
    finally:
        process.kill()
        process.wait()


async def test_output_that_nobody_reads_holds_up_no_request(tmp_path):
    path = tmp_path / "node.toml"
    callers = write_settings(path)
    process = start_process(path)
    try:
        process.stdout.readline()
        # Each request leaves a line: far more than a pipe holds.
        for _ in range(1200):
            answer = await call(callers, "GET", "/lookup/a", caller_headers())
            assert answer.status == 503
    finally:
        process.kill()
        process.wait()


async def test_settings_that_change_take_effect_and_others_are_named(tmp_path):
    async with running_site() as site:
        gateway, node, _ = site.gateways[0]
        renewed = load_settings_of(tmp_path, ttl_max_s=0.25)
        left = node.reload_from(renewed)
        assert "callers" in left
        assert "bounds" not in left
        answer = await call(node.directory, "GET", "/v1/resolve?name=x&zone=z", {})
        assert json.loads(answer.body)["ttl_s"] == 0.25
        assert gateway is not None


def load_settings_of(tmp_path, **bounds):
    """Return the settings of a file with some bounds."""
    path = tmp_path / "renewed.toml"
    write_settings(path, **bounds)
    return load_settings(path)
