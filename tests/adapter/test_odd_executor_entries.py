"""One odd entry among those of the executors: the owner goes on following the table.

Each case plays an entry that another writer left: a known executor keeps its runs, all others are
followed, an owner that starts with the entry in place knows the others, and a mended entry counts.
"""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any, cast

import pytest

from jacinthreel_node import Row
from jacinthreel_node._listings import Listings
from jacinthreel_platform._platform_rows import RowTranslator
from jacinthreel_steps import (
    ExecutorReport,
    JobRecord,
    JobSpec,
    QueueTerms,
    ReportedRun,
    Resources,
    Run,
    Scheduler,
    StepSpec,
)

NOW_MS = 5_000
BORN_MS = 1_780_000_000_000
DEEP = "[" * 5_000 + "]" * 5_000
FIELDS = ("service", "addr", "zone", "state", "capacity", "labels", "born", "remaining_ms")
ODD_VALUES = {
    "deep": DEEP,
    "deep object": '{"a":' * 5_000 + "1" + "}" * 5_000,
    "large": "1" + "0" * 30,
    "very large": "1" + "0" * 5_000,
    "beyond 64 bits": str(2**64),
    "exact limit": str(2**53),
    "infinite": "1e999999",
    "not a number": "NaN",
}


class Owner:
    """A scheduler that follows the executors' table through the platform's decoder."""

    def __init__(self, *rows: Row) -> None:
        self.lost_runs: list[Any] = []
        self.linked: set[str] = set()
        self.scheduler = Scheduler(self._log)
        clock = cast(Any, SimpleNamespace(now_ms=lambda: NOW_MS))
        links = SimpleNamespace(add=self.linked.add)
        decoder = RowTranslator()
        self.listings = Listings(decoder, self.scheduler, links, clock, lambda: True, self._log)
        self.listings.apply_snapshot(rows)

    def _log(self, event: str, fields: dict[str, Any]) -> None:
        if event == "run_lost":
            self.lost_runs.append(fields)

    def is_usable(self, executor_id: str) -> bool:
        executor = self.scheduler.tables.executors_by_id.get(executor_id)
        return executor is not None and executor.is_listed and executor_id in self.linked

    def report(self, now_ms: int, *runs: Run) -> None:
        running = tuple(ReportedRun(run.run_id, "", 1) for run in runs)
        self.scheduler.apply_report("e1", ExecutorReport(BORN_MS, now_ms, running, ()), now_ms)

    def start_run(self) -> Run:
        """Starts the only task of a job on e1, which reports it."""
        self.report(NOW_MS)
        terms = QueueTerms("q", "s", 0, 3, 3.0, 1_000)
        spec = JobSpec("x", (StepSpec(1, Resources(1, 1, 1), 1_000),))
        self.scheduler.add_job(JobRecord("j", terms, "w", spec, 0), None, NOW_MS, NOW_MS)
        self.scheduler.plan(NOW_MS)
        for row in self.scheduler.take_unstored(10, "w"):
            self.scheduler.mark_stored(row, 1, NOW_MS)
        [run] = self.scheduler.take_starts()
        self.report(NOW_MS + 1, run)
        return run


def entry(executor_id: str, **odd: str) -> Row:
    """Returns an entry; `odd` holds the JSON texts of fields to replace or to add."""
    fields = {
        "service": '"s"',
        "addr": '"10.0.0.9:8080"',
        "zone": '"z"',
        "state": '"ready"',
        "capacity": '{"cpu":16000,"mem_mb":32768,"gpu":8}',
        "labels": '["a","r"]',
        "born": str(BORN_MS),
        **odd,
    }
    text = ",".join(f"{json.dumps(name)}:{value}" for name, value in fields.items())
    return Row("servers", executor_id, f"{{{text}}}".encode(), 1)


def check_odd_entry(odd: Row) -> None:
    owner = Owner(entry("e1"))
    run = owner.start_run()
    owner.listings.apply_changes((odd, entry("e2")))
    assert owner.is_usable("e2")
    owner.report(NOW_MS + 100, run)
    owner.listings.apply_changes((entry("e1", addr='"10.0.0.8:8081"'),))
    assert owner.is_usable("e1")
    listing = owner.scheduler.tables.executors_by_id["e1"].listing
    assert (listing.incarnation, listing.address) == (BORN_MS, "10.0.0.8:8081")
    # What runs there is neither lost nor started elsewhere.
    assert owner.scheduler.tables.jobs_by_id["j"].live_runs() == [run]
    assert not owner.lost_runs

    restarted = Owner(odd, entry("e2"))
    assert restarted.is_usable("e2")
    restarted.listings.apply_changes((entry("e1"),))
    assert restarted.is_usable("e1")
    assert restarted.scheduler.tables.executors_by_id["e1"].listing.incarnation == BORN_MS


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=list(ODD_VALUES))
@pytest.mark.parametrize("name", [*FIELDS, "seq", "unnamed"])
def test_odd_field_costs_only_its_entry_until_it_is_mended(name: str, value: str) -> None:
    check_odd_entry(entry("e1", **{name: value}))


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=list(ODD_VALUES))
@pytest.mark.parametrize("name", ["cpu", "mem_mb", "gpu", "unnamed"])
def test_odd_capacity_costs_only_its_entry_until_it_is_mended(name: str, value: str) -> None:
    fields = {"cpu": "1", "mem_mb": "1", "gpu": "1", name: value}
    text = ",".join(f'"{key}":{item}' for key, item in fields.items())
    check_odd_entry(entry("e1", capacity=f"{{{text}}}"))


@pytest.mark.parametrize("port", ["0", "65536", "70000", "-1", "8080.5", "1" + "0" * 5_000, ""])
def test_port_out_of_range_costs_only_its_entry_until_it_is_mended(port: str) -> None:
    check_odd_entry(entry("e1", addr=f'"10.0.0.9:{port}"'))


@pytest.mark.parametrize("name", ["cpu", "mem_mb", "gpu"])
def test_capacity_beyond_any_machine_attracts_no_work(name: str) -> None:
    # The executors of some services start more than fits.
    fields = {"cpu": 1, "mem_mb": 1, "gpu": 1, name: 2**52}
    assert not Owner(entry("e1", capacity=json.dumps(fields))).is_usable("e1")


@pytest.mark.parametrize("text", [b"", b"\xff\xfe", b"null", b"[]", b"{", DEEP.encode(), b"1"])
def test_bytes_that_are_no_entry_cost_no_other(text: bytes) -> None:
    check_odd_entry(Row("servers", "e1", text, 1))
