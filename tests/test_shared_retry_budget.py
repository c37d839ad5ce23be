"""The retry budget of all nodes together, while they die, start, leave and are cut off."""

from dataclasses import replace

from cyclamenyoke.standins.engine import Behaviour
from site_fixture import BOUNDS, running_site, send_request


# Guards against refused retries of which nobody can say why.
async def test_metrics_tell_what_a_node_counts_for_its_retry_budgets():
    bounds = replace(BOUNDS, retry_ratio=0.0, retry_slack=0.0)
    async with running_site(bounds=bounds) as site:
        node = site.gateways[0][1]
        for engine in site.engines_of("app"):
            engine.script.append(Behaviour.REJECT)
        await site.get(node, "/lookup/a")
        address = f"{node.ip}:{node.metrics_port}"
        response = await send_request(address, "GET", "/metrics", {"Host": "m"})
        lines = response.body.decode().splitlines()
        assert 'cyclamenyoke_retries_refused_total{service="app"} 1' in lines
        assert 'cyclamenyoke_retry_budget_first_attempts{service="app"} 1' in lines
        assert 'cyclamenyoke_retry_budget_nodes{service="app"} 1' in lines
