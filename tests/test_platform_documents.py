"""Decoding of settings, configuration and registry entries of the platform."""

import json

import pytest

from cyclamenyoke.core.gateway_config import RetryMode
from cyclamenyoke.exceptions import FindingsError
from cyclamenyoke.platform.documents import (
    InvalidDocument,
    decode_config,
    decode_endpoints,
)
from cyclamenyoke.platform.settings import load_settings
from site_fixture import API_KEY, configuration, route

SETTINGS = """
node = "n"
ip = "10.1.0.40"
zone = "z"
region = "r"
internal_ports = [7340, 7355]
seeds = ["10.1.0.41:8229"]
unknown_field = 1
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
[limits]
cpu_share = 0.5
cores = 2
memory_mb = 222
file_descriptors = 1570
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 191
budget_window_s = 10
[platform]
address = "10.200.1.7:8223"
"""

ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "slots": 6,
    "born": 5,
}


def test_settings_are_converted_with_units(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.callers == "10.1.0.40:8227"
    assert settings.bounds.drain == pytest.approx(2.0)
    assert settings.seeds == ("10.1.0.41",)
    assert settings.capacity == pytest.approx(1.0)


def test_all_errors_of_a_settings_file_are_reported_together(tmp_path):
    path = tmp_path / "node.toml"
    invalid = SETTINGS.replace('ip = "10.1.0.40"', "ip = 7")
    path.write_text(invalid.replace('zone = "z"\n', ""))
    with pytest.raises(FindingsError) as caught:
        load_settings(path)
    text = caught.value.format_message()
    assert "ip" in text and "zone" in text
    assert caught.value.exit_code == 2


@pytest.mark.parametrize("content", ["not toml [", "\x00", "a = " + "[" * 3000])
def test_unreadable_settings_are_reported_as_finding(tmp_path, content):
    path = tmp_path / "node.toml"
    path.write_text(content)
    with pytest.raises(FindingsError):
        load_settings(path)
    with pytest.raises(FindingsError):
        load_settings(tmp_path / "missing")


def test_configuration_determines_retry_modes():
    config = decode_config(json.dumps(configuration(7)).encode())
    retry_modes = {route.name: route.retry_mode for route in config.routes}
    assert retry_modes == {
        "stream": RetryMode.RESUME,
        "single": RetryMode.NEVER,
        "order": RetryMode.NEVER,
        "lookup": RetryMode.ANYWHERE,
    }
    assert config.customers[API_KEY].name == "customer"


@pytest.mark.parametrize("value", [b"", b"[]", b'{"version": "x"}', b"\xff\xfe"])
def test_invalid_configuration_is_rejected(value):
    with pytest.raises(InvalidDocument):
        decode_config(value)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": 5},
        {"address": "nowhere"},
        {"slots": "six"},
        {"slots": 0},
        {"service": None},
        {"zone": 3},
        {"born": 1.5},
        {"born": 2**70},
        {"born": -(2**70)},
        {"born": 2**128},
        {"slots": 2**70},
        {"slots": -1},
        {"cold_remaining_ms": 2**70},
        {"zone": "z" * 1000},
        {"service": "s" * 100_000},
        {"address": "10.0.0.1:70000"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:\u0663"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "host\x00name:80"},
        {"address": "a..b:80"},
        {"address": "x" * 64 + ":80"},
        {"address": ":80"},
        {"address": "host name:80"},
        {"address": "10.0.0.1:80\r\nX: y"},
    ],
)
def test_invalid_entries_are_skipped_and_valid_ones_read(change):
    items = [
        ("servers/good", json.dumps(ENTRY).encode()),
        ("servers/bad", json.dumps({**ENTRY, **change}).encode()),
        ("servers/worse", b"\x00\xff{"),
    ]
    endpoints, unreadable = decode_endpoints(items)
    assert [endpoint.id for endpoint in endpoints] == ["good"]
    assert len(unreadable) == 2


NO_SHARE = {"service": "app", "weight": 0}
NEGATIVE_SHARE = {"service": "app", "weight": -1}


# A number that the JSON decoder takes, but no later step can carry.
@pytest.mark.parametrize(
    "change",
    [
        {"version": 2**70},
        {"routes": [route("r", "safe", None)]},
        {"routes": [route("r", "safe", None, traffic_split=[])]},
        {"routes": [route("r", "safe", None, traffic_split=[NO_SHARE, NO_SHARE])]},
        {"routes": [route("r", "safe", None, traffic_split=[NEGATIVE_SHARE])]},
        {"limits": {**configuration(1)["limits"], "max_body_bytes": 2**70}},
        {"limits": {**configuration(1)["limits"], "idle_timeout_ms": -1}},
        {"services": [{"name": "llm", "max_connections": -(2**70)}]},
        {
            "services": [
                {
                    "name": "llm",
                    "engine": {"sets": 2**30, "experts": 2**20, "link_mbps": 1},
                }
            ]
        },
    ],
)
def test_configuration_with_numbers_out_of_range_is_rejected(change):
    with pytest.raises(InvalidDocument):
        decode_config(json.dumps({**configuration(7), **change}).encode())


# Guards against an entry that adds header lines to the requests sent to its address.
@pytest.mark.parametrize("id_", ["", "a\r\nX-Tenant: b", "a\x00b", " a", "a\n"])
def test_entry_whose_id_fits_in_no_header_is_skipped(id_):
    endpoints, errors = decode_endpoints(
        [(f"servers/{id_}", json.dumps(ENTRY).encode())]
    )
    assert not endpoints and len(errors) == 1


@pytest.mark.parametrize("address", ["10.0.0.1:1", "engine-7.dc_1.internal:65535"])
def test_address_of_a_host_or_ip_is_read(address):
    entry = json.dumps({**ENTRY, "address": address}).encode()
    [endpoint], _ = decode_endpoints([("servers/a", entry)])
    assert endpoint.address == address


def test_draining_state_is_decoded():
    entry = json.dumps({**ENTRY, "state": "draining"}).encode()
    [endpoint], _ = decode_endpoints([("servers/a", entry)])
    assert endpoint.is_leaving
