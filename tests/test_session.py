"""End-to-end sessions with real processes, compared with snapshots."""

import json
import re
import signal
import socket
import threading
import time
import uuid

import httpx
import pytest

from cyclamenyoke.standins.deployment import MODEL, customer_key
from fleet import Fleet, make_fleet, wait_until

CHAT = "/v1/chat/completions"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp("session")
    with make_fleet(directory, entries=3, engines=2, plain=2) as running:
        running.start_all()
        yield running


@pytest.fixture(autouse=True)
def restore_fleet(fleet):
    """Clear injected faults and restart daemons that a test has stopped."""
    yield
    fleet.set_faults()
    for settings in fleet.deployment.agent_settings:
        fleet.client.post(settings.agent.url + "/stand-in/faults", json={})
    for name in fleet.names:
        if fleet.has_ended(name):
            fleet.start(name)
    wait_until(fleet.is_converged, "every daemon is connected again")


def mask_variable_parts(text: str) -> str:
    """Mask ids, addresses and retry delays, which differ between runs."""
    text = re.sub(r"[0-9a-f]{32}", "<id>", text)
    text = re.sub(r"127\.0\.0\.1:\d+", "<address>", text)
    return re.sub(r'("retry_after": ?)[\d.]+', r"\1<seconds>", text)


def transcript(response: httpx.Response) -> str:
    """Return the status, headers and body that the snapshots compare."""
    visible_headers = ("content-type", "idempotent-replayed")
    headers = [
        f"{n}: {response.headers[n]}" for n in visible_headers if n in response.headers
    ]
    return mask_variable_parts(
        "\n".join([str(response.status_code), *headers, response.text])
    )


def new_key() -> str:
    """Return a UUIDv7."""
    milliseconds = int(time.time() * 1000)
    value = milliseconds << 80 | 7 << 76 | uuid.uuid4().int & ((1 << 76) - 1)
    return str(uuid.UUID(int=value & ~(3 << 62) | 2 << 62))


def start_streams(fleet: Fleet, tokens: int):
    """Start four callers at entry 1; return their threads and list of responses."""
    body = {"model": MODEL, "stream": True, "max_tokens": tokens}
    responses: list[httpx.Response] = []
    callers = [
        threading.Thread(target=lambda: responses.append(fleet.call(0, CHAT, body)))
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    return callers, responses


def started_count(fleet: Fleet, key: str) -> int:
    return sum(call["key"] == key for call in fleet.started_calls())


def test_streamed_answer_is_whole(fleet, snapshot):
    body = {"model": MODEL, "stream": True, "max_tokens": 5}
    assert transcript(fleet.call(0, CHAT, body)) == snapshot


def test_whole_answer(fleet, snapshot):
    body = {"model": MODEL, "max_tokens": 5}
    assert transcript(fleet.call(1, CHAT, body)) == snapshot


def test_repeated_order_runs_once(fleet, snapshot):
    key = new_key()
    responses = [fleet.order(entry, key) for entry in (0, 1, 2)]
    transcripts = [
        re.sub(r'"order":\d+', '"order":N', transcript(each)) for each in responses
    ]
    assert "\n\n".join(transcripts) == snapshot
    assert len({response.content for response in responses}) == 1
    assert started_count(fleet, key) == 1


def test_racing_repeats_run_once(fleet):
    key = new_key()
    responses: list[httpx.Response] = []
    threads = [
        threading.Thread(target=lambda n=n: responses.append(fleet.order(n % 3, key)))
        for n in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert {response.status_code for response in responses} == {201}
    assert started_count(fleet, key) == 1


@pytest.mark.parametrize(
    ("path", "body", "customer"),
    [
        ("/services/orders/clearance-orders", {}, "siam-north"),
        ("/services/nothing/x", {}, "siam-north"),
        (CHAT, {"model": "unknown"}, "siam-north"),
        (CHAT, {"model": MODEL}, "stranger"),
        (CHAT, {"no": "model"}, "siam-north"),
    ],
    ids=["no-key", "no-service", "no-model", "stranger", "bad-body"],
)
def test_refusals(fleet, snapshot, path, body, customer):
    assert transcript(fleet.call(0, path, body, customer)) == snapshot


def test_key_of_another_call_is_refused(fleet, snapshot):
    key = new_key()
    path = "/services/orders/clearance-orders"
    fleet.call(0, path, {"duct": "a"}, Idempotency_Key=key)
    repeated = fleet.call(0, path, {"duct": "b"}, Idempotency_Key=key)
    assert transcript(repeated) == snapshot
    assert started_count(fleet, key) == 1


def test_other_customers_key_is_not_revealed(fleet):
    key = new_key()
    first = fleet.order(0, key)
    path = "/services/orders/clearance-orders"
    other = fleet.call(0, path, {"duct": key}, "siam-south", Idempotency_Key=key)
    assert first.status_code == other.status_code == 201
    assert "idempotent-replayed" not in other.headers


def test_racing_publishes_both_land_or_one_is_shown_a_diff(fleet, snapshot):
    services = fleet.deployment.services
    before = fleet.operators.config().index.generation
    lock = (services / "cyclamenyoke.lock").read_text()
    fleet.deployment.write_services(deadlines={"default": "20s", "maximum": "2min"})
    first = fleet.publish("--wait")
    (services / "cyclamenyoke.lock").write_text(lock)
    fleet.deployment.write_services(deadlines={"default": "25s", "maximum": "2min"})
    second = fleet.publish()
    output = f"{first.stdout}{first.stderr}{second.returncode}\n{second.stderr}"
    assert output.replace(f"generation {before + 1}", "generation N") == snapshot
    assert fleet.operators.config().index.generation == before + 1


def test_findings_of_all_files_come_together(fleet, tmp_path, snapshot):
    for name in ("a", "b"):
        (tmp_path / name).mkdir()
        (tmp_path / name / "cyclamenyoke.yaml").write_text(
            f"service: {name}\nkind: plane\nendpoints:\n"
            "  - {name: X, agent: nowhere, data_centre: dc, slots: 0}\n"
        )
    result = fleet.cli("check", str(tmp_path))
    output = result.stderr.replace(str(tmp_path), "DIR")
    assert f"{result.returncode}\n{output}" == snapshot


def test_operators_see_nodes_and_burn(fleet):
    status = fleet.cli("status")
    assert status.returncode == 0 and "run by 7 of 7 nodes" in status.stdout
    rows = json.loads(fleet.cli("slo", "--json").stdout)
    assert {row["service"] for row in rows} == {"reports", "orders"}


def test_operators_see_the_metrics_of_an_agent(fleet):
    fleet.order(0, new_key())
    name = fleet.deployment.agent_settings[2].name
    output = fleet.cli("metrics", name).stdout
    assert "cyclamenyoke_config_generation" in output
    assert fleet.cli("metrics", "nobody").returncode == 1


def test_operators_need_their_own_credential(fleet):
    address = fleet.deployment.entry_settings[0].operators_address
    response = fleet.client.get(
        f"http://{address}/operators/v1/status",
        headers={"Authorization": f"Bearer {customer_key('siam-north')}"},
    )
    assert response.status_code == 401


def test_platform_outage_refuses_orders_and_serves_reports(fleet, snapshot):
    fleet.set_faults(down=True)
    try:
        key = new_key()
        rejected = fleet.order(0, key)
        report = fleet.call(0, CHAT, {"model": MODEL, "max_tokens": 3})
        assert transcript(rejected) == snapshot
        assert report.status_code == 200
        assert started_count(fleet, key) == 0
    finally:
        fleet.set_faults()
    wait_until(
        lambda: fleet.order(0, new_key()).status_code == 201,
        "orders are accepted again",
    )


def test_lost_journal_answers_run_orders_once(fleet):
    fleet.set_faults(lose_after=1.0)
    try:
        key = new_key()
        response = fleet.order(0, key)
        assert response.status_code == 201
        assert started_count(fleet, key) == 1
    finally:
        fleet.set_faults()


def test_killed_agent_leaves_an_order_unknown_and_never_runs_it_twice(fleet):
    for settings in fleet.deployment.agent_settings:
        fleet.client.post(settings.agent.url + "/stand-in/faults", json={"delay": 1.0})
    key = new_key()
    responses: list[httpx.Response] = []
    caller = threading.Thread(target=lambda: responses.append(fleet.order(0, key)))
    caller.start()
    wait_until(lambda: started_count(fleet, key) == 1, "order starts")
    claim_holder = next(
        settings
        for settings in fleet.deployment.agent_settings
        if any(
            call["key"] == key
            for call in fleet.client.get(settings.agent.url + "/stand-in/begun").json()
        )
    )
    fleet.send_signal(claim_holder.name, signal.SIGKILL)
    fleet.wait_for_exit(claim_holder.name)
    caller.join()
    assert responses[0].json()["ran"] == "unknown"
    assert responses[0].json()["reason"] in ("link_lost", "holder_of_key_lost")
    fleet.start(claim_holder.name)
    wait_until(fleet.is_converged, "the agent is connected again")
    assert fleet.order(1, key).status_code == 409
    assert started_count(fleet, key) == 1


def test_paused_agent_does_not_run_a_refused_order(fleet):
    """Guards against running an order after its request has been rejected.

    A paused agent still has the order in its socket buffer when it resumes, after the
    request's deadline.
    """
    names = [each.name for each in fleet.deployment.agent_settings[2:]]
    key = new_key()
    for name in names:
        fleet.send_signal(name, signal.SIGSTOP)
    try:
        rejected = fleet.order(0, key, X_Request_Timeout="1.0")
    finally:
        for name in names:
            fleet.send_signal(name, signal.SIGCONT)
    assert rejected.json()["ran"] == "unknown"
    time.sleep(1.0)
    repeated = fleet.order(0, key)
    assert repeated.status_code in (201, 409)
    assert started_count(fleet, key) <= 1


def test_leaving_agent_finishes_its_stream(fleet, snapshot):
    callers, responses = start_streams(fleet, tokens=200)
    time.sleep(0.3)
    name = fleet.deployment.agent_settings[0].name
    fleet.send_signal(name, signal.SIGTERM)
    assert fleet.wait_for_exit(name) == 0
    for caller in callers:
        caller.join()
    assert all(response.text.count("data: ") == 201 for response in responses)
    during = fleet.call(0, CHAT, {"model": MODEL, "max_tokens": 1})
    assert transcript(during) == snapshot


def test_leaving_entry_finishes_its_stream_and_sends_callers_elsewhere(fleet, snapshot):
    body = {"model": MODEL, "stream": True, "max_tokens": 200}
    responses: list[httpx.Response] = []
    caller = threading.Thread(
        target=lambda: responses.append(fleet.call(2, CHAT, body))
    )
    caller.start()
    time.sleep(0.3)
    fleet.send_signal("entry-3", signal.SIGTERM)
    time.sleep(0.2)
    rejected = fleet.call(2, CHAT, {"model": MODEL, "max_tokens": 1})
    assert transcript(rejected) == snapshot
    caller.join()
    assert responses[0].text.count("data: ") == 201
    assert fleet.wait_for_exit("entry-3") == 0
    address = fleet.deployment.entry_settings[0].callers_address
    entries = fleet.client.get(f"http://{address}/v1/entry-vms").json()["entries"]
    assert {entry["name"] for entry in entries} == {"entry-1", "entry-2"}


def test_entry_starts_from_its_peers_while_the_platform_is_away(fleet):
    fleet.send_signal("entry-3", signal.SIGKILL)
    fleet.wait_for_exit("entry-3")
    fleet.set_faults(down=True)
    try:
        fleet.start("entry-3")
        wait_until(fleet.is_converged, "entry runs the configuration of its peers")
        response = fleet.call(2, CHAT, {"model": MODEL, "max_tokens": 1})
        assert response.status_code == 200
    finally:
        fleet.set_faults()


def test_killed_engine_agent_is_replaced_before_the_first_token(fleet):
    for settings in fleet.deployment.agent_settings[:2]:
        fleet.client.post(settings.agent.url + "/stand-in/faults", json={"delay": 0.5})
    callers, responses = start_streams(fleet, tokens=3)
    time.sleep(0.25)
    name = fleet.deployment.agent_settings[0].name
    fleet.send_signal(name, signal.SIGKILL)
    fleet.wait_for_exit(name)
    for caller in callers:
        caller.join()
    assert [response.text.count("data: ") for response in responses] == [4] * 4


def test_vanished_caller_cancels_the_engines_work(fleet):
    address = fleet.deployment.entry_settings[0].callers_address
    body = {"model": MODEL, "stream": True, "max_tokens": 2000}
    headers = {"Authorization": f"Bearer {customer_key('siam-north')}"}
    url = f"http://{address}{CHAT}"
    with httpx.stream("POST", url, json=body, headers=headers) as response:
        next(response.iter_lines())
    wait_until(
        lambda: all(a.in_flight == 0 for a in agents(fleet)), "work is cancelled"
    )


def test_caller_that_does_not_read_is_given_up(fleet):
    host, port = fleet.deployment.entry_settings[0].callers_address.split(":")
    body = json.dumps({"model": MODEL, "stream": True, "max_tokens": 60_000})
    with socket.create_connection((host, int(port))) as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sendall(
            f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
            f"Authorization: Bearer {customer_key('siam-north')}\r\n\r\n{body}".encode()
        )
        wait_until(lambda: any(a.in_flight for a in agents(fleet)), "call begins")
        wait_until(lambda: not any(a.in_flight for a in agents(fleet)), "it ends", 60)


def test_large_body_is_refused(fleet, snapshot):
    body = {"model": MODEL, "prompt": "x" * 2_000_000}
    assert transcript(fleet.call(0, CHAT, body)) == snapshot


def agents(fleet: Fleet):
    return fleet.operators.status().agents
