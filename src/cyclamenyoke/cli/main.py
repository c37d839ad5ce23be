"""The ``cyclamenyoke`` command, the operators' client."""

import getpass
import sys
import time
import uuid
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter
from returns.pipeline import is_successful

from cyclamenyoke import __version__
from cyclamenyoke.adapters.service_files import load_services
from cyclamenyoke.cli.client import OperatorsClient
from cyclamenyoke.cli.explain import explain, read_logs
from cyclamenyoke.cli.lock import read_lock, write_lock
from cyclamenyoke.cli.quarantine import fetch_quarantine, lift_quarantine
from cyclamenyoke.cli.reports import burn_report, merge_burn_rates, status_report, table
from cyclamenyoke.core.config import Service
from cyclamenyoke.core.units import MILLISECOND
from cyclamenyoke.daemon.operators import Status
from cyclamenyoke.daemon.publishing import (
    PublishRequest,
    ServiceEdit,
    diff_services,
)
from cyclamenyoke.exceptions import (
    EXIT_UNAVAILABLE,
    CyclamenyokeError,
    FindingsError,
    PlatformUnavailable,
)

WAIT_POLL_INTERVAL = 100 * MILLISECOND
"""Seconds between two status requests while waiting for a publish."""

app = App(
    name="cyclamenyoke",
    version=__version__,
    help="Operates a cyclamenyoke deployment.",
)
config_app = App(name="config", help="Shows the configuration in force.")
app.command(config_app)

Entries = Annotated[
    list[str],
    Parameter(name="--entry", env_var="CYCLAMENYOKE_ENTRIES", consume_multiple=True),
]
Key = Annotated[str, Parameter(name="--key", env_var="CYCLAMENYOKE_KEY")]
Flag = Annotated[bool, Parameter(negative="")]


@app.command
def check(directory: Path) -> int:
    """Validate the service files below a directory.

    :param directory: searched for files named cyclamenyoke.yaml.
    """
    services = _load_services(directory)
    for service in services:
        endpoints = len(service.all_endpoints)
        customers = len(service.customers)
        print(f"{service.service}: {endpoints} endpoints, {customers} customers")
    return 0


@app.command
def publish(
    directory: Path,
    *,
    entry: Entries,
    key: Key,
    wait: Flag = False,
    wait_seconds: float = 10.0,
    author: str = "",
) -> int:
    """Publish the service files below a directory.

    :param directory: searched for files named cyclamenyoke.yaml; the published
        revisions are recorded there in cyclamenyoke.lock.
    :param entry: IP:PORT of the operators' API of one or more entries.
    :param key: the operators' credential.
    :param wait: wait until every reachable node runs the published configuration.
    :param wait_seconds: maximum time to wait, in seconds.
    :param author: name recorded in the history; the current user if empty.
    """
    services = _load_services(directory)
    client = OperatorsClient(entry, key)
    lock = read_lock(directory)
    in_force = client.config().index.services
    edits = [
        ServiceEdit(service, _base_revision(service.service, lock, in_force))
        for service in services
    ]
    request = PublishRequest(uuid.uuid4().hex, author or getpass.getuser(), edits)
    index = client.publish(request)
    names = {service.service for service in services}
    write_lock(
        directory,
        {name: each.revision for name, each in index.services.items() if name in names},
    )
    print(f"accepted: generation {index.generation}")
    return _wait_until_in_force(client, index.generation, wait_seconds) if wait else 0


@app.command
def diff(directory: Path, *, entry: Entries, key: Key) -> int:
    """Show how the service files differ from the configuration in force."""
    services = _load_services(directory)
    view = OperatorsClient(entry, key).config()
    present = {service.service: service for service in view.services}
    for service in services:
        text = diff_services(present.get(service.service), service)
        print(f"{service.service}: {'changed' if text else 'the same'}")
        if text:
            print(text)
    return 0


@app.command
def status(*, entry: Entries, key: Key, json: Flag = False) -> int:
    """Show the nodes and agents, and the generation that each node runs."""
    current = OperatorsClient(entry, key).status()
    print(_json(current) if json else status_report(current))
    return 0


@app.command
def slo(*, entry: Entries, key: Key, json: Flag = False) -> int:
    """Show the burn rates of all entries, by service and customer."""
    client = OperatorsClient(entry, key)
    nodes = client.status().nodes
    rows = []
    for address in sorted(node.operators for node in nodes if node.operators):
        try:
            rows += client.fetch_slo(address)
        except PlatformUnavailable as error:
            print(f"warning: left out: {error}", file=sys.stderr)
    merged = merge_burn_rates(rows)
    print(_json(merged) if json else burn_report(merged))
    return 0


@app.command
def metrics(node: str, *, entry: Entries, key: Key) -> int:
    """Show the metrics of one node, which may be an agent."""
    print(OperatorsClient(entry, key).fetch_metrics(node), end="")
    return 0


@app.command
def quarantine(node: str, *, lift: str = "", json: Flag = False) -> int:
    """Show the requests that gateways withhold since they ended engines.

    :param node: IP:PORT of the metrics address of any gateway.
    :param lift: SERVICE/PART to send again at all gateways; a part as it is shown.
    """
    if lift:
        service, _, part = lift.rpartition("/")
        lift_quarantine(node, service, part)
        print(f"lifted: {lift}")
        return 0
    withheld = fetch_quarantine(node)
    if json:
        print(_json(withheld))
        return 0
    rows = [
        [each.service, " ".join(each.parts), " ".join(each.engines), each.remaining]
        for each in withheld
    ]
    print(table(["service", "parts", "engines that ended", "seconds left"], rows))
    return 0


@app.command(name="explain")
def explain_request(request: str, logs: list[Path], *, json: Flag = False) -> int:
    """Show the timeline of one request, from the gateways' logs.

    Example: cyclamenyoke explain ccf610df097ece81 gateway-*.log

    :param request: the request id; a retry by the caller has a different one.
    :param logs: files with the standard output of the gateways.
    """
    events = explain(request, read_logs(logs))
    if json:
        print(_json(events))
        return 0
    rows = [[f"{-event.age:.3f}", event.node, event.what] for event in events]
    print(table(["seconds", "node", "what"], rows))
    return 0


@config_app.command(name="show")
def show_config(*, entry: Entries, key: Key) -> int:
    """Show all services in force, as JSON."""
    print(_json(OperatorsClient(entry, key).config()))
    return 0


@config_app.command(name="history")
def show_history(*, entry: Entries, key: Key) -> int:
    """Show the most recent publishes, newest first."""
    history = OperatorsClient(entry, key).config().index.history
    rows = [
        [
            record.generation,
            time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(record.published_at)),
            record.author,
            ", ".join(record.services),
        ]
        for record in history
    ]
    print(table(["generation", "published", "author", "services"], rows))
    return 0


def _load_services(directory: Path) -> list[Service]:
    result = load_services(directory)
    if not is_successful(result):
        raise FindingsError(result.failure())
    return result.unwrap()


def _base_revision(name: str, lock: dict[str, int], in_force: object) -> int:
    """Return the revision that the edit of a service is based on.

    That is the one in the lock file, else the one in force, or 0 for a new service.
    """
    if name in lock:
        return lock[name]
    entry = in_force.get(name) if isinstance(in_force, dict) else None
    return entry.revision if entry is not None else 0


def _wait_until_in_force(
    client: OperatorsClient, generation: int, seconds: float
) -> int:
    """Wait until every reachable node runs a generation; print those that do not."""
    deadline = time.monotonic() + seconds
    while True:
        current = client.status()
        lagging = _lagging_nodes(current, generation)
        if not lagging or time.monotonic() >= deadline:
            break
        time.sleep(WAIT_POLL_INTERVAL)
    up_to_date = len(current.nodes) - len(lagging)
    print(f"in force at {up_to_date} of {len(current.nodes)} nodes")
    for name in lagging:
        print(f"not yet known to run it: {name}")
    return EXIT_UNAVAILABLE if lagging else 0


def _lagging_nodes(current: Status, generation: int) -> list[str]:
    return [node.name for node in current.nodes if node.generation < generation]


def _json(value: object) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def run() -> None:
    """Run the command and exit with its code."""
    try:
        sys.exit(app())
    except CyclamenyokeError as error:
        print(error.format_message(), file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    run()
