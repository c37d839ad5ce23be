"""Gateway start, shutdown and reload, store outages and gossip between gateways."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from cyclamenyoke.core.peers import Peers
from cyclamenyoke.platform.settings import load_settings
from cyclamenyoke.standins.platform import Faults
from site_fixture import (
    HOST,
    caller_headers,
    configuration,
    connect,
    encode_request,
    free_ports,
    read_response,
    requests_until,
    route,
    running_site,
    send_request,
)


async def set_faults(site, **faults):
    site.platform.state.faults = Faults(**faults)
    await site.notify_watches()


async def test_node_without_configuration_rejects_with_retry_after():
    async with running_site(gateways=0, config=False) as site:
        node = await site.add_gateway(wait_until_ready=False)
        await asyncio.sleep(0.3)
        assert not await site.is_ready(node)
        response = await site.get(node, "/lookup/a")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        site.publish(configuration(1))
        await site.notify_watches()
        await site.wait_until(lambda: site.is_ready(node))
        assert (await site.get(node, "/lookup/a")).status == 200


async def test_node_started_during_store_outage_serves_once_store_recovers():
    async with running_site(gateways=0) as site:
        await set_faults(site, down=True)
        node = await site.add_gateway(wait_until_ready=False)
        await asyncio.sleep(0.3)
        assert (await site.get(node, "/lookup/a")).status == 503
        await set_faults(site)
        await site.wait_until(lambda: site.is_ready(node), 4)


async def get_once_listening(site, node) -> tuple[float, object]:
    """Send a request once a node accepts connections; return latency and response."""
    async with asyncio.timeout(2):
        while True:
            started_at = time.monotonic()
            try:
                response = await site.get(node, "/lookup/a")
            except ConnectionRefusedError:
                await asyncio.sleep(0.001)
                continue
            return time.monotonic() - started_at, response


async def test_request_before_first_store_read_waits_for_it():
    async with running_site(gateways=0) as site:
        await set_faults(site, delay=0.05)
        node = await site.add_gateway(wait_until_ready=False)
        _, response = await get_once_listening(site, node)
        assert response.status == 200


async def test_request_before_first_store_read_is_rejected_soon_if_store_is_slow():
    async with running_site(gateways=0) as site:
        await set_faults(site, delay=3)
        node = await site.add_gateway(wait_until_ready=False)
        seconds, response = await get_once_listening(site, node)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert seconds < 0.4
        # Later requests do not wait at all.
        started_at = time.monotonic()
        assert (await site.get(node, "/lookup/a")).status == 503
        assert time.monotonic() - started_at < 0.1


async def test_new_configuration_applies_on_all_nodes_and_removes_old_routes():
    async with running_site(gateways=3) as site:
        config = configuration(2)
        config["routes"] = [route("new", "safe", "app")]
        site.publish(config)
        await site.notify_watches()
        await asyncio.sleep(0.5)
        for _, node, _ in site.gateways:
            assert (await site.get(node, "/new/a")).status == 200
            assert (await site.get(node, "/lookup/a")).status == 404


async def test_older_and_invalid_configurations_are_ignored():
    async with running_site() as site:
        node = site.gateways[0][1]
        site.publish({**configuration(5), "routes": [route("new", "safe", "app")]})
        await site.notify_watches()
        await asyncio.sleep(0.2)
        for value in (b"{broken", b'{"version": 9}'):
            site.platform.put("op/config", value)
            await site.notify_watches()
        site.publish(configuration(4))
        await site.notify_watches()
        await asyncio.sleep(0.2)
        assert (await site.get(node, "/new/a")).status == 200
        assert (await site.get(node, "/lookup/a")).status == 404


async def test_node_without_store_access_gets_configuration_from_peers():
    async with running_site(gateways=2) as site:
        isolated_gateway = site.gateways[1][0]
        await asyncio.sleep(0.6)
        await isolated_gateway._store.close()
        isolated_gateway._store._address = "127.0.0.1:1"
        site.publish({**configuration(2), "routes": [route("new", "safe", "app")]})
        await site.notify_watches()
        node = site.gateways[1][1]

        async def serves_new_route():
            return (await site.get(node, "/new/a")).status == 200

        await site.wait_until(serves_new_route, 2.0)


async def test_requests_are_served_during_store_outage():
    async with running_site(gateways=2) as site:
        await set_faults(site, down=True)
        await asyncio.sleep(1.5)
        for _, node, _ in site.gateways:
            assert (await site.get(node, "/lookup/a")).status == 200


async def test_draining_engine_gets_no_new_requests_from_any_node_within_the_bound():
    async with running_site(gateways=3) as site:
        draining_engine = site.engines["i-app-0"]
        site.platform.put("servers/i-app-0", draining_engine.entry("app", "draining"))
        await asyncio.sleep(1.5)
        before = len(draining_engine.state.received)
        for _ in range(4):
            for _, node, _ in site.gateways:
                assert (await site.get(node, "/lookup/a")).status == 200
        assert len(draining_engine.state.received) == before


async def test_one_node_reads_the_endpoint_list_for_all():
    async with running_site(gateways=3) as site:
        await asyncio.sleep(1.5)
        before = dict(site.platform.state.calls)
        await asyncio.sleep(3.0)
        reads = site.platform.state.calls["range"] - before["range"]
        assert reads <= 3.0 / 0.5 + 2


async def test_graceful_shutdown_completes_requests_and_removes_node_from_directory():
    async with running_site(gateways=2) as site:
        for engine in site.engines.values():
            engine.event_interval = 0.15
        (stopping_gateway, node, task), (_, other_node, _) = site.gateways
        await asyncio.sleep(0.5)
        reader, writer = await connect(node.callers)
        writer.write(encode_request("POST", "/stream/a", caller_headers(), b"{}"))
        await asyncio.sleep(0.2)
        stopping_gateway.stop()
        await asyncio.sleep(0.1)
        assert not await site.is_ready(node)
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"
        directory_response = await send_request(
            other_node.directory, "GET", path, {"Host": "d"}
        )
        assert node.callers.encode() not in directory_response.body
        late_response = await site.get(node, "/lookup/a")
        assert late_response.status == 200
        assert late_response.headers["connection"] == "close"
        response = await read_response(reader)
        assert response.is_complete
        writer.close()
        await asyncio.wait_for(task, 6)


async def test_new_node_is_listed_by_all_within_a_second():
    async with running_site(gateways=2) as site:
        node = await site.add_gateway()
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"

        async def is_listed_by_all():
            responses = [
                await send_request(each.directory, "GET", path, {"Host": "d"})
                for _, each, _ in site.gateways
            ]
            return all(node.callers.encode() in response.body for response in responses)

        await site.wait_until(is_listed_by_all, 1.0)


async def test_forged_datagrams_are_rejected():
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
        await site.get(node, "/lookup/a")
        address = f"{node.ip}:{node.metrics_port}"
        response = await send_request(address, "GET", path, {"Host": "m"})
        assert b"cyclamenyoke_requests_total" in response.body
        assert b'cyclamenyoke_first_byte_seconds{service="app"' in response.body


def test_invalid_settings_end_the_process_with_all_findings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('node = 5\nip = "10.0.0.1"\n')
    completed = subprocess.run(
        [sys.executable, "-m", "cyclamenyoke.daemon.gateway_process"],
        env={**os.environ, "CYCLAMENYOKE_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert completed.returncode == 2
    for field in ("node", "zone", "bounds", "platform"):
        assert field in completed.stderr


async def test_failed_reload_changes_nothing():
    async with running_site() as site:
        gateway, node, _ = site.gateways[0]
        gateway.reload()
        assert (await site.get(node, "/lookup/a")).status == 200


def write_settings(path, **bounds) -> str:
    """Write the settings file of a node; return the address that callers use."""
    ip = "127.0.2.1"
    ports = free_ports(ip, 4)
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
    """Start a gateway process whose standard output is a pipe."""
    return subprocess.Popen(
        [sys.executable, "-m", "cyclamenyoke.daemon.gateway_process"],
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


SIGNALLED_BEFORE_LOADING = """
import os, signal, sys
from cyclamenyoke.daemon.process_signals import ProcessSignals
signals = ProcessSignals()
signals.install()
assert "asyncio" not in sys.modules
for number in (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM):
    os.kill(os.getpid(), number)
from cyclamenyoke.daemon.gateway import run
run(signals)
"""


# Guards against a reload or a planned stop that ends a process which still starts.
def test_signals_that_come_before_the_gateway_is_loaded_are_kept(tmp_path):
    path = tmp_path / "node.toml"
    write_settings(path)
    completed = subprocess.run(
        [sys.executable, "-c", SIGNALLED_BEFORE_LOADING],
        env={**os.environ, "CYCLAMENYOKE_NODE_FILE": str(path)},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert completed.returncode == 0, completed.stderr
    for message in ("started", "settings reloaded", "stopping", "stopped"):
        assert f'"{message}"' in completed.stdout


# Guards against a parent's blocked signals, with which no stop would ever be planned.
def test_blocked_signals_stop_a_process(tmp_path):
    path = tmp_path / "node.toml"
    write_settings(path)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})
    try:
        process = start_process(path)
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM, signal.SIGHUP})
    try:
        assert any('"started"' in line for line in iter(process.stdout.readline, ""))
        process.send_signal(signal.SIGTERM)
        assert process.wait(6) == 0
    finally:
        process.kill()
        process.wait()


# Guards against signals that end a process once its event loop has closed.
def test_signals_to_the_last_leave_a_stopped_process_its_exit_code(tmp_path):
    path = tmp_path / "node.toml"
    write_settings(path)
    process = start_process(path)
    try:
        lines = iter(process.stdout.readline, "")
        assert any('"started"' in line for line in lines)
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()


async def test_unread_log_output_does_not_block_requests(tmp_path):
    path = tmp_path / "node.toml"
    callers = write_settings(path)
    process = start_process(path)
    try:
        process.stdout.readline()
        # Each request logs a line; together they are far larger than a pipe's buffer.
        for _ in range(1200):
            response = await send_request(callers, "GET", "/lookup/a", caller_headers())
            assert response.status == 503
    finally:
        process.kill()
        process.wait()


async def test_reload_applies_changeable_settings_and_names_the_others(tmp_path):
    async with running_site() as site:
        node = site.gateways[0][1]
        new_settings = write_and_load_settings(tmp_path, ttl_max_s=0.25)
        not_applied = node.reload_from(new_settings)
        assert "callers" in not_applied
        assert "bounds" not in not_applied
        response = await send_request(
            node.directory, "GET", "/v1/resolve?name=x&zone=z", {}
        )
        assert json.loads(response.body)["ttl_s"] == 0.25


def write_and_load_settings(tmp_path, **bounds):
    """Write a settings file with some bounds and load it."""
    path = tmp_path / "renewed.toml"
    write_settings(path, **bounds)
    return load_settings(path)


async def restore_store(site) -> None:
    """Bring the store back from its last copy after a moment's outage."""
    await set_faults(site, down=True)
    await asyncio.sleep(0.3)
    site.platform.restore()
    await set_faults(site)


async def test_restored_store_brings_back_neither_configuration_nor_leaving_engines():
    async with running_site(gateways=2) as site:
        site.platform.back_up()
        new_route = {**configuration(2), "routes": [route("new", "safe", "app")]}
        site.publish(new_route)
        leaving = site.engines["i-app-0"]
        site.platform.put("servers/i-app-0", leaving.entry("app", "draining"))
        await site.notify_watches()
        await asyncio.sleep(1.2)
        await restore_store(site)
        await asyncio.sleep(1.2)
        for _ in range(4):
            for _, node, _ in site.gateways:
                assert (await site.get(node, "/lookup/a")).status == 404
                assert (await site.get(node, "/new/a")).status == 200
        assert leaving.state.received == []


async def test_restored_store_is_followed_although_its_revisions_went_back():
    async with running_site(gateways=2) as site:
        site.platform.back_up()
        for number in range(200):
            site.platform.put("other", b"%d" % number)
        await asyncio.sleep(1.2)
        await restore_store(site)
        site.publish({**configuration(2), "routes": [route("new", "safe", "app")]})
        added = await site.add_engine("app", "i-app-added")
        await site.notify_watches()
        nodes = [node for _, node, _ in site.gateways]

        async def serve_with_added_engine():
            responses = [await site.get(node, "/new/a") for node in nodes]
            assert {response.status for response in responses} <= {200, 404}
            return len(added.state.received) > 4

        await site.wait_until(serve_with_added_engine, 2.5)
        for node in nodes:
            assert (await site.get(node, "/new/a")).status == 200


async def test_engine_that_the_restored_store_lost_is_used_until_it_registers_again():
    async with running_site(gateways=2, engines=1) as site:
        site.platform.back_up()
        added = await site.add_engine("app", "i-app-added")
        await asyncio.sleep(1.2)
        await restore_store(site)
        await asyncio.sleep(0.8)
        before = len(added.state.received)
        for _ in requests_until(lambda: len(added.state.received) > before, 4):
            for _, node, _ in site.gateways:
                assert (await site.get(node, "/lookup/a")).status == 200
        assert len(added.state.received) > before


async def test_registrations_that_the_restored_store_lost_are_written_again():
    async with running_site(gateways=0) as site:
        site.platform.back_up()
        for _ in range(3):
            await site.add_gateway()
        await asyncio.sleep(0.5)
        await restore_store(site)
        site.publish(configuration(2))
        keys = {f"cyclamenyoke/nodes/{node.ip}" for _, node, _ in site.gateways}
        await site.wait_until(lambda: keys <= set(site.platform.state.values), 2.0)


async def test_nodes_with_different_exchange_keys_join_within_a_second():
    async with running_site(gateways=0) as site:
        site.platform.back_up()
        for _ in range(2):
            await site.add_gateway()
        await asyncio.sleep(0.5)
        site.platform.restore()
        # A node that starts now finds no key and writes its own.
        site.publish(configuration(1))
        new_node = await site.add_gateway(wait_until_ready=False)
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"

        async def are_all_listed_by_all():
            addresses = [node.callers.encode() for _, node, _ in site.gateways]
            bodies = [
                (await send_request(node.directory, "GET", path, {"Host": "d"})).body
                for _, node, _ in site.gateways
            ]
            return all(address in body for body in bodies for address in addresses)

        await site.wait_until(lambda: site.is_ready(new_node), 2.0)
        await site.wait_until(are_all_listed_by_all, 1.5)


async def test_node_without_store_access_follows_a_restored_store_through_peers():
    async with running_site(gateways=2) as site:
        site.platform.back_up()
        isolated_gateway, isolated_node, _ = site.gateways[1]
        await asyncio.sleep(0.6)
        await isolated_gateway._store.close()
        isolated_gateway._store._address = "127.0.0.1:1"
        await restore_store(site)
        draining = site.engines["i-app-0"]
        site.platform.put("servers/i-app-0", draining.entry("app", "draining"))
        await asyncio.sleep(1.8)
        before = len(draining.state.received)
        for _ in range(4):
            assert (await site.get(isolated_node, "/lookup/a")).status == 200
        assert len(draining.state.received) == before


async def test_malformed_target_does_not_make_the_directory_fail():
    async with running_site() as site:
        gateway, node, _ = site.gateways[0]
        response = await send_request(node.directory, "GET", "//[/", {"Host": "d"})
        assert response.status == 400
        assert gateway._metrics.counter("handler_errors") == 0


async def test_directory_of_a_large_fleet_gives_out_every_gateway(monkeypatch):
    fleet = [f"10.0.0.{number}:80" for number in range(100)]
    monkeypatch.setattr(Peers, "addresses", lambda self, now: list(fleet))
    async with running_site() as site:
        node = site.gateways[0][1]
        path = f"/v1/resolve?name={HOST}&region=region&zone=dc-1"
        given_out = set()
        for _ in range(30):
            response = await send_request(node.directory, "GET", path, {"Host": "d"})
            addresses = json.loads(response.body)["addresses"]
            assert len(set(addresses)) == len(addresses) == 64
            given_out.update(addresses)
        assert given_out >= set(fleet)


async def test_silence_of_a_peer_does_not_enlarge_parts_of_what_all_nodes_share():
    async with running_site(gateways=2) as site:
        first = site.gateways[0][0]
        config = first._cluster_state.config
        await site.wait_until(lambda: first._peers.live(first._clock.now()))
        before = first._forwarder._connection_limit(config, "llm")
        site.gateways[1][2].cancel()
        await asyncio.sleep(1.5)
        assert not first._peers.live(first._clock.now())
        assert first._forwarder._connection_limit(config, "llm") == before
