"""The addresses of readiness, directory and operators, which take small requests."""

import asyncio

import pytest

from cyclamenyoke.core.gateway_config import (
    MAX_AUXILIARY_BODY_BYTES,
    MAX_AUXILIARY_HEADER_BYTES,
    CallerLimits,
)
from cyclamenyoke.core.units import MEBIBYTE
from site_fixture import (
    configuration,
    connect,
    read_response,
    running_site,
    send_request,
)

LIMITS = {
    "max_header_bytes": MEBIBYTE,
    "max_body_bytes": 4 * MEBIBYTE,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 5000,
}


def test_limits_of_auxiliary_addresses_keep_the_timeouts_of_the_configuration():
    limits = CallerLimits(MEBIBYTE, MEBIBYTE, 1.0, 2.0).for_auxiliary()
    assert limits == CallerLimits(
        MAX_AUXILIARY_HEADER_BYTES, MAX_AUXILIARY_BODY_BYTES, 1.0, 2.0
    )


def auxiliary_addresses(settings):
    metrics = f"{settings.ip}:{settings.metrics_port}"
    return [settings.readiness, settings.directory, metrics]


@pytest.mark.parametrize("is_confirmed", [True, False])
async def test_configuration_does_not_let_bodies_fill_auxiliary_addresses(is_confirmed):
    async with running_site(engines=1) as site:
        [(gateway, settings, _)] = site.gateways
        site.publish(configuration(2, limits=LIMITS))
        caller_server = gateway._caller_server
        await site.wait_until(
            lambda: caller_server.limits.max_body_bytes == 4 * MEBIBYTE
        )
        gateway._cluster_state.is_config_confirmed = lambda arrived_at: is_confirmed
        for address in auxiliary_addresses(settings):
            for framing in (b"Content-Length: 1048576", b"Transfer-Encoding: chunked"):
                reader, writer = await connect(address)
                writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n" % framing)
                writer.write(b"100000\r\n" + b"x" * 10_000)
                response = await asyncio.wait_for(read_response(reader), 2)
                assert response.status == 413
                writer.close()
            [server] = [each for at, each in gateway._servers if at == address]
            for connection in server._connections:
                assert len(connection._body) <= MAX_AUXILIARY_BODY_BYTES
            headers = {"Host": "h", "X-Long": "x" * (MAX_AUXILIARY_HEADER_BYTES + 1)}
            response = await send_request(address, "GET", "/", headers)
            assert response.status == 431


async def test_quarantine_api_takes_requests_that_lift_a_quarantine():
    async with running_site(engines=1) as site:
        [(_, settings, _)] = site.gateways
        metrics = f"{settings.ip}:{settings.metrics_port}"
        body = b'{"service":"llm","part":"%b"}' % (b"0" * 2000)
        headers = {"Host": "h"}
        response = await send_request(metrics, "POST", "/quarantine", headers, body)
        assert response.status == 404
        assert (await send_request(metrics, "GET", "/metrics", headers)).status == 200
