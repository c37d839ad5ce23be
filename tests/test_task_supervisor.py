"""Background tasks that go on after errors, and how these show."""

import asyncio

import pytest

from cyclamenyoke.adapters.clock import BootClock
from cyclamenyoke.adapters.logs import Log
from cyclamenyoke.adapters.metrics import Metrics
from cyclamenyoke.daemon.task_supervisor import TaskSupervisor
from site_fixture import running_site, send_request


def create_supervisor() -> tuple[TaskSupervisor, Metrics]:
    metrics = Metrics()
    return TaskSupervisor(BootClock(), metrics, Log("test")), metrics


async def test_failed_task_runs_again_and_its_errors_are_counted():
    supervisor, metrics = create_supervisor()
    starts = 0

    async def work() -> None:
        nonlocal starts
        starts += 1
        if starts < 3:
            raise RuntimeError("unexpected")
        await asyncio.Event().wait()

    task = asyncio.create_task(supervisor.run("work", work))
    await asyncio.sleep(0.5)
    assert starts == 3
    assert metrics.counter("unexpected_errors", task="work") == 2
    assert supervisor.failing == {"work": True}
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_task_that_always_fails_is_started_ever_more_rarely():
    supervisor, metrics = create_supervisor()

    async def work() -> None:
        raise RuntimeError("unexpected")

    task = asyncio.create_task(supervisor.run("work", work))
    await asyncio.sleep(1.0)
    task.cancel()
    assert metrics.counter("unexpected_errors", task="work") <= 4


# Guards against an error in one background task ending the process and all requests.
async def test_gateway_serves_on_while_each_of_its_tasks_fails():
    def fail(*arguments, **options):
        raise RuntimeError("unexpected")

    async with running_site(gateways=1) as site:
        gateway, settings, task = site.gateways[0]
        gateway._registry.recent_changes = fail
        gateway._evacuation._enforce = fail
        gateway._cluster_state._report_once = fail
        gateway._rebalancer._is_loaded = fail
        gateway._pool.close_expired = fail
        await asyncio.sleep(1.5)
        assert not task.done(), repr(task.exception())
        assert (await site.get(settings, "/lookup/a")).status == 200
        address = f"{settings.ip}:{settings.metrics_port}"
        response = await send_request(address, "GET", "/metrics", {"Host": "m"})
        text = response.body.decode()
        assert 'task_failing{task="peer_updates"} 1' in text
        assert 'unexpected_errors_total{task="housekeeping"}' in text
