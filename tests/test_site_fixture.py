"""The site that other tests run must not fail for reasons of its own."""

import socket

import pytest

from site_fixture import free_ports, running_site


# Guards against gateways that never become ready since two of their ports are the same.
def test_ports_of_one_node_differ():
    ports = free_ports("127.0.1.1", 500)
    assert len(set(ports)) == 500


# Guards against a gateway's error at its start that shows as a timeout only.
async def test_gateway_that_can_not_start_fails_with_its_own_error(monkeypatch):
    async with running_site(gateways=0) as site:
        settings = site.settings(1)
        monkeypatch.setattr(site, "settings", lambda number: settings)
        host, port = settings.directory.split(":")
        with (
            socket.create_server((host, int(port))),
            pytest.raises(OSError, match="[Aa]ddress already in use"),
        ):
            await site.add_gateway()
