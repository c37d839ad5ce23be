"""Non-blocking logging: a slow or closed reader must not block the process."""

import asyncio
import json
import os
import threading
import time

import pytest

from cyclamenyoke.adapters.line_writer import MAX_BUFFERED_BYTES, LineWriter
from cyclamenyoke.adapters.logs import Log, install_nonblocking_logs

LINE = b"x" * 999 + b"\n"


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


def drop_notice(count: int) -> bytes:
    return b"dropped %d\n" % count


def read_all(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return data


async def test_stalled_reader_does_not_block_and_dropped_lines_are_counted(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor, drop_notice)
    async with asyncio.timeout(2):
        for _ in range(3 * MAX_BUFFERED_BYTES // len(LINE)):
            writer.write(LINE, is_urgent=False)
            await asyncio.sleep(0)
    assert writer.buffered_bytes <= MAX_BUFFERED_BYTES
    dropped = writer.dropped_lines
    assert dropped > 0
    data = b""
    async with asyncio.timeout(2):
        while b"dropped" not in data:
            data += read_all(reader)
            await asyncio.sleep(0)
    assert b"dropped %d\n" % dropped in data
    kept = data.replace(b"dropped %d\n" % dropped, b"")
    assert kept == LINE * (len(kept) // len(LINE))
    writer.close()


async def test_urgent_lines_are_kept_when_the_ordinary_buffer_is_full(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor, drop_notice)
    for _ in range(MAX_BUFFERED_BYTES // len(LINE)):
        writer.write(LINE, is_urgent=False)
    writer.write(b"urgent\n", is_urgent=True)
    data = b""
    async with asyncio.timeout(2):
        while b"urgent" not in data:
            await asyncio.sleep(0)
            data += read_all(reader)
    writer.close()


async def test_lines_of_one_loop_iteration_are_written_together(pipe, monkeypatch):
    reader, descriptor = pipe
    writes = []
    write = os.write
    monkeypatch.setattr(
        "cyclamenyoke.adapters.line_writer.os.write",
        lambda fd, data: writes.append(data) or write(fd, data),
    )
    writer = LineWriter(descriptor, drop_notice)
    for _ in range(5):
        writer.write(b"line\n", is_urgent=False)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert writes == [b"line\n" * 5]
    assert read_all(reader) == b"line\n" * 5
    writer.close()


async def test_closed_reader_is_tolerated():
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor, drop_notice)
    for _ in range(3):
        writer.write(LINE, is_urgent=False)
        await asyncio.sleep(0)
    assert writer.dropped_lines > 0
    writer.close()
    os.close(descriptor)


def test_lines_are_written_without_an_event_loop_and_on_close(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor, drop_notice)
    writer.write(b"start\n", is_urgent=False)
    writer.close()
    assert read_all(reader) == b"start\n"


def test_regular_file_receives_every_line(tmp_path):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    writer = LineWriter(descriptor, drop_notice)
    for _ in range(2 * MAX_BUFFERED_BYTES // len(LINE)):
        writer.write(LINE, is_urgent=False)
    writer.close()
    os.close(descriptor)
    assert path.stat().st_size == 2 * MAX_BUFFERED_BYTES // len(LINE) * len(LINE)


def test_records_are_one_json_object_per_line(pipe):
    reader, descriptor = pipe
    writer = install_nonblocking_logs("info", descriptor)
    log = Log("part", node="n")
    log.debug("left out")
    log.info("event", value=1)
    writer.close()
    (line,) = read_all(reader).splitlines()
    fields = json.loads(line)
    assert fields["message"] == "event"
    assert fields["node"] == "n"
    assert fields["value"] == 1


async def test_close_waits_for_a_slow_reader_while_time_is_left(pipe):
    reader, descriptor = pipe
    writer = LineWriter(descriptor, drop_notice)
    for _ in range(300):
        writer.write(LINE, is_urgent=False)
    received = bytearray()

    def read_slowly():
        while len(received) < 300 * len(LINE):
            time.sleep(0.005)
            received.extend(os.read(reader, 40_000))

    thread = threading.Thread(target=read_slowly, daemon=True)
    thread.start()
    writer.close()
    thread.join(1)
    assert bytes(received) == LINE * 300
