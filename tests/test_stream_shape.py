"""Streams of the soak are drawn from the ids of their requests."""

import asyncio
from random import Random

import pytest

from process_soak.engine import Engine, stream_event
from process_soak.faults import LONG_STREAMS, PROFILES, draw_profile
from process_soak.record import Record, read_events
from process_soak.site import Bounds
from process_soak.stream_shape import StreamShape
from soak_engine_server import serving

IDS = [f"c0-{number}" for number in range(300)]
INTERVAL = 0.08
SHORT = StreamShape(
    min_events=4,
    max_events=4,
    wait_share=1.0,
    pause_share=1.0,
    min_pause=0.1,
    max_pause=0.2,
)


def test_stream_that_is_resumed_has_the_same_length_at_each_engine():
    for id_ in IDS:
        lengths = {LONG_STREAMS.draw(id_, f"e{number}", 3).events for number in (1, 2)}
        assert len(lengths) == 1


def test_pause_lies_between_two_events_that_the_engine_writes():
    for id_ in IDS:
        course = LONG_STREAMS.draw(id_, "e1", 3)
        assert not course.pause or 3 <= course.pause_after < course.events


def test_long_streams_last_from_short_to_beyond_the_grace_and_pause():
    courses = [LONG_STREAMS.draw(id_, "e1", 1) for id_ in IDS]
    seconds = [each.events * INTERVAL for each in courses]
    assert min(seconds) < 1.0
    assert max(seconds) > Bounds().grace
    assert any(each.pause > 1.5 for each in courses)
    assert any(each.wait > 1.5 for each in courses)
    assert any(not each.wait and not each.pause for each in courses)


def test_runs_with_other_seeds_draw_other_streams():
    others = [
        StreamShape(1, 1000, 0.0, 0.0, 0.0, 0.0, seed=seed).draw("c0-1", "e1", 1)
        for seed in range(5)
    ]
    assert len({each.events for each in others}) == 5


def test_profiles_of_long_streams_are_played_by_name_only():
    drawn = {draw_profile(Random(seed)) for seed in range(500)}
    without_shape = {name for name in PROFILES if PROFILES[name].shape is None}
    assert drawn == without_shape - {"stalls", "stalls_failing", "stalls_kills"}


def get_stream(engine, last_event_id):
    """Return what an engine writes for a stream."""

    async def ask():
        async with serving(engine) as address:
            reader, writer = await asyncio.open_connection(*address)
            fields = f"X-Request-Id: r\r\nLast-Event-Id: {last_event_id}\r\n"
            writer.write(f"POST /draft/x HTTP/1.1\r\n{fields}\r\n".encode())
            async with asyncio.timeout(5.0):
                data = await reader.readuntil(b"\r\n0\r\n\r\n")
            writer.close()
            await writer.wait_closed()
        return data

    return asyncio.run(ask())


def make_engine(directory, shape):
    record, random = Record(directory / "engine.jsonl"), Random(1)
    return Engine("e1", "llm", 2, 0.01, 3, 0.01, record, random, shape)


@pytest.mark.parametrize(("shape", "last"), [(None, 3), (SHORT, 4)])
def test_engine_writes_the_events_that_are_missing(tmp_path, shape, last):
    data = get_stream(make_engine(tmp_path, shape), 1)
    events = [stream_event("r", number, last) for number in range(2, last + 1)]
    assert [each in data for each in events] == [True] * len(events)
    assert stream_event("r", 1, last) not in data


def test_engine_records_when_it_writes_the_first_event_after_a_wait(tmp_path):
    get_stream(make_engine(tmp_path, SHORT), 0)
    events = {event.what: event for event in read_events(tmp_path)}
    assert events["wrote"].at >= events["began"].at + SHORT.min_pause
    assert events["left"].at >= events["wrote"].at + SHORT.min_pause
    assert events["began"].until >= events["began"].at + 2 * SHORT.min_pause
