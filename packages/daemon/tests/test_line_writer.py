"""The log writer writes whole lines, limits the volume and never blocks on a stalled reader."""

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


def test_stalled_reader_does_not_block_the_writer(pipe: tuple[int, int]) -> None:
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
    lines_read = (read + read_bytes(read_end)).decode().splitlines()

    dropped_counts = [json.loads(text)["lines"] for text in lines_read if text.startswith("{")]
    whole_lines = [text for text in lines_read if text == line]
    assert lines_read[-1] == "last"
    assert sum(dropped_counts) + len(whole_lines) == 4 * MAX_BUFFER_BYTES // 1_000


def test_volume_is_limited_and_dropped_lines_are_counted(pipe: tuple[int, int]) -> None:
    read_end, write_end = pipe
    clock = [0.0]
    writer = LineWriter(write_end, lambda: clock[0])
    for index in range(int(BURST_LINES) + 50):
        writer.write(str(index))
    clock[0] += 1.0
    writer.write("later")

    lines_read = read_all(read_end)
    assert lines_read[-1] == "later"
    assert json.loads(lines_read[-2])["lines"] == 50


def test_writes_after_the_reader_has_closed_do_not_raise() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = LineWriter(write_end, lambda: 0.0)
    writer.write("first")
    writer.write("second")
    os.close(write_end)
