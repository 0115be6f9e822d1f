"""Timeouts and other limits of the shard core.

Constraints between the limits: the shard's lease is shorter than `TASK_LEASE_MS`, so that a new
owner renews the task leases in time after the former owner failed.  `START_WINDOW_MS` plus the
worker's `RESERVATION_TTL_MS` is below the 3 s within which task starts must cease in a closed zone.
"""

from __future__ import annotations

from typing import Final

HEARTBEAT_MS: Final = 1_000
"""Interval between the batches that renew the task leases on a worker."""
TASK_LEASE_MS: Final = 15_000
"""How long a worker runs its tasks without a lease renewal."""
DELIVERY_LIMIT_MS: Final = 5_000
"""Longest time that a sent batch can take to reach its worker."""
BATCH_TIMEOUT_MS: Final = 5_000
"""A batch without a reply after this time counts as lost; a later reply is ignored."""
START_WINDOW_MS: Final = 1_800
"""Starts are sent only within this time after the write of the placement was requested."""
OUTAGE_RENEWAL_LIMIT_MS: Final = 600_000
"""How long an owner renews task leases after the shard's own lease expired."""
SUSPECT_AFTER_MS: Final = 3_000
"""A worker that has not replied for this long gets no new tasks."""
RENEWAL_STOP_AFTER_MS: Final = 10_000
"""A worker that has not replied for this long gets no renewals, so that its task leases expire."""
LOST_PROBE_PERIOD_MS: Final = 5_000
"""Interval between the batches sent to a worker whose task leases may have expired."""
WRITE_RETRY_INITIAL_MS: Final = 250
"""First delay before a failed write is retried; doubles up to `WRITE_RETRY_MAX_MS`."""
WRITE_RETRY_MAX_MS: Final = 4_000
MAX_ROWS_PER_TRANSACTION: Final = 64
"""The highest number of job rows in one transaction."""
REPLAN_MS: Final = 5_000
"""A queue that is not empty is planned again after this time, even if nothing changed."""
REQUEUE_DELAY_MS: Final = 1_000
"""How long a job waits before its next placement after its start or one of its tasks failed."""
EARLY_LOSS_MS: Final = 60_000
"""A gang that loses a worker within this time after its start may have crashed the worker."""
CRASH_BACKOFF_MS: Final = 10_000
"""Delay before a gang's placement after its second early loss in a row; doubles with each further
one up to `CRASH_BACKOFF_MAX_MS`."""
CRASH_BACKOFF_MAX_MS: Final = 600_000
RETRY_AFTER_MS: Final = 1_000
"""Retry delay returned to callers while the shard has no owner or the store is unavailable."""
QUEUE_FULL_RETRY_MS: Final = 10_000
"""Retry delay returned to callers while the queue is full."""
MAX_CACHED_SHAPES: Final = 1_000
"""The highest number of gang shapes for which the result of `check_job_fits` is cached."""
FAILS_EVERYWHERE_WORKERS: Final = 3
"""A job that fails on this many distinct healthy workers is itself at fault and ends as failed."""
MAX_TASK_FAILURES: Final = 6
"""A job ends as failed after this many failures, wherever they happened."""
QUARANTINE_MIN_FAILED_JOBS: Final = 2
"""Distinct jobs that must fail on a worker, without a success there since, to quarantine it.

This number suffices once one of the jobs has finished on other workers; before that, one more
job has to fail."""
QUARANTINE_MS: Final = 60_000
"""Duration of a worker's first quarantine; doubles with each failed probation."""
QUARANTINE_MAX_MS: Final = 3_600_000
DRAIN_CHECKPOINT_MS: Final = 20_000
"""Time reserved for checkpoints at the end of a zone's drain."""
ENDED_RETENTION_MS: Final = 86_400_000
"""How long the rows of ended jobs are kept."""
RETENTION_CHECK_MS: Final = 60_000
PLAN_PERIOD_MS: Final = 200
"""Minimum time between two plans of the whole queue.

It grows by the same time for every `PLAN_PERIOD_QUEUE_STEP` jobs in the queue."""
PLAN_PERIOD_QUEUE_STEP: Final = 500
