"""Log lines from which an operator learns why a run was stopped and what that cost."""

from __future__ import annotations

from typing import Any

from scheduler_harness import SchedulerHarness, listing, queue, step

from jacinthreel_steps import EndReason


def lines(harness: SchedulerHarness, event: str, job_id: str) -> list[dict[str, Any]]:
    return [
        fields for name, fields in harness.log_lines if name == event and fields["job_id"] == job_id
    ]


def test_a_preempted_run_names_the_job_it_was_stopped_for_and_its_lost_work() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("batch", step(count=1, accelerators=8), terms=queue(2))
    harness.settle()
    harness.pass_time(2_000)

    harness.submit("urgent", step(count=1, accelerators=8), terms=queue(0))
    harness.settle()

    (end,) = lines(harness, "run_ended", "batch")
    assert (end["stop_cause"], end["stopped_by"]) == ("preempted", "urgent")
    # One core and eight accelerators, each counted as eight cores, for a little over 2 s.
    assert 130 <= end["lost_core_s"] == end["work_core_s"] <= 135


def test_the_rest_of_a_gang_names_the_member_that_ended() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("gang", step(count=3, is_gang=True))
    harness.settle()
    failed = harness.runs("gang")[0]

    harness.end(failed, EndReason.FAILED)
    harness.settle()

    ends = lines(harness, "run_ended", "gang")
    assert "stop_cause" not in ends[0] and ends[0]["reason"] == "failed"
    for end in ends[1:]:
        assert end["stop_cause"] == "gang member ended"
        assert end["stopped_by"] == f"{ends[0]['run']} failed"


def test_a_run_that_saved_its_progress_when_stopped_has_lost_nothing() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("saved", step(count=1, saves_progress=True))
    harness.settle()
    harness.pass_time(2_000)

    harness.end(harness.runs("saved")[0], EndReason.STOPPED, checkpoint="c1")

    (end,) = lines(harness, "run_ended", "saved")
    assert end["lost_core_s"] == 0 < end["work_core_s"]


def test_a_job_shows_when_it_began_and_when_its_stored_end_became_visible() -> None:
    harness = SchedulerHarness(listing("e1"))
    harness.submit("job", step())
    harness.settle()
    harness.end(harness.runs("job")[0], EndReason.DONE)
    assert not lines(harness, "job_end_stored", "job")

    harness.now_ms += 700
    harness.store()

    assert len(lines(harness, "job_begun", "job")) == 1
    (stored,) = lines(harness, "job_end_stored", "job")
    (ended,) = lines(harness, "job_ended", "job")
    assert stored["age_ms"] == ended["age_ms"] + 700
