"""The log writer: whole lines, a bounded volume, and no wait for a reader that doesn't read."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator

import pytest

from jacinthreel_daemon._line_writer import BURST_LINES, MAX_BUFFER_BYTES, LineWriter


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def read_bytes(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    chunks: list[bytes] = []
    while True:
        try:
            chunk = os.read(descriptor, 65_536)
        except BlockingIOError:
            return b"".join(chunks)
        chunks.append(chunk)


def read_all(descriptor: int) -> list[str]:
    return read_bytes(descriptor).decode().splitlines()


def test_reader_that_does_not_read_stops_nobody(pipe: tuple[int, int]) -> None:
    read_end, write_end = pipe
    clock = [0.0]
    writer = LineWriter(write_end, lambda: clock[0])
    line = "x" * 1_000
    for _ in range(4 * MAX_BUFFER_BYTES // 1_000):
        clock[0] += 1.0
        writer.write(line)

    read = read_bytes(read_end)
    for _ in range(20):
        writer.flush()
        read += read_bytes(read_end)
    writer.write("last")
    seen = (read + read_bytes(read_end)).decode().splitlines()

    left_out = [json.loads(text)["lines"] for text in seen if text.startswith("{")]
    whole = [text for text in seen if text == line]
    assert seen[-1] == "last"
    assert sum(left_out) + len(whole) == 4 * MAX_BUFFER_BYTES // 1_000


def test_volume_is_bounded_and_what_is_left_out_is_counted(pipe: tuple[int, int]) -> None:
    read_end, write_end = pipe
    clock = [0.0]
    writer = LineWriter(write_end, lambda: clock[0])
    for index in range(int(BURST_LINES) + 50):
        writer.write(str(index))
    clock[0] += 1.0
    writer.write("later")

    seen = read_all(read_end)
    assert seen[-1] == "later"
    assert json.loads(seen[-2])["lines"] == 50


def test_reader_that_is_gone_ends_nothing() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LineWriter(write_end, lambda: 0.0)
    writer.write("unheard")
    writer.write("unheard too")
    os.close(write_end)
