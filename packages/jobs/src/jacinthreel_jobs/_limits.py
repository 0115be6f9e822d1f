"""Time limits and bounds of a shard's decisions.

How the limits depend on one another: the shard's lease is shorter than `TASK_LEASE_MS`, so that a
new owner renews the tasks of a dead one in time.  `START_WINDOW_MS` plus the worker's
`RESERVATION_TTL_MS` stays below the 3 s within which starts in a closed zone must end.
"""

from __future__ import annotations

from typing import Final

HEARTBEAT_MS: Final = 1_000
"""Period of the batches that renew a worker's task leases."""
TASK_LEASE_MS: Final = 15_000
"""How long a worker runs tasks without a renewal."""
DELIVERY_LIMIT_MS: Final = 5_000
"""Longest time that a sent batch can take to reach its worker."""
BATCH_TIMEOUT_MS: Final = 5_000
"""A batch without an answer for this long counts as lost, whatever the driver says later."""
START_WINDOW_MS: Final = 1_800
"""Starts are sent only this long after the write of the placement was sent."""
OUTAGE_RENEWAL_LIMIT_MS: Final = 600_000
"""How long task leases are renewed after the shard's own lease lapsed."""
SUSPECT_AFTER_MS: Final = 3_000
"""A worker that has not answered for this long gets no new tasks."""
SILENCE_AFTER_MS: Final = 10_000
"""A worker that has not answered for this long gets no more renewals, so that its leases lapse."""
LOST_PROBE_MS: Final = 5_000
"""Period of the batches to a worker whose tasks have lapsed."""
WRITE_RETRY_MS: Final = 250
"""First pause before a failed write is sent again; doubles up to `WRITE_RETRY_LIMIT_MS`."""
WRITE_RETRY_LIMIT_MS: Final = 4_000
GROUP_ROWS: Final = 64
"""Most rows in one transaction."""
REPLAN_MS: Final = 5_000
"""A waiting queue is planned again after this time, even if nothing changed."""
REFUSED_PAUSE_MS: Final = 1_000
"""How long a job that was refused by a worker, or failed, waits before its next placement."""
RETRY_AFTER_MS: Final = 1_000
"""What callers are told to wait while the shard or the store is away."""
QUEUE_FULL_RETRY_MS: Final = 10_000
"""What callers are told to wait while the queue is full."""
KNOWN_SHAPES: Final = 1_000
"""Most shapes of gangs of which it is remembered whether they can ever run."""
FAILS_EVERYWHERE_WORKERS: Final = 3
"""A job that fails on this many distinct workers, none in quarantine, is at fault itself."""
MAX_TASK_FAILURES: Final = 6
"""A job ends as failed after this many failures, wherever they happened."""
QUARANTINE_JOBS: Final = 2
"""Distinct jobs that must fail on a worker, with no success there since, to quarantine it."""
QUARANTINE_MS: Final = 60_000
"""First quarantine of a worker; doubles with each failed probation."""
QUARANTINE_LIMIT_MS: Final = 3_600_000
DRAIN_CHECKPOINT_MS: Final = 20_000
"""Time kept for checkpoints at the end of a zone's drain."""
ENDED_RETENTION_MS: Final = 86_400_000
"""How long the rows of ended jobs are kept."""
RETENTION_CHECK_MS: Final = 60_000
PLAN_PERIOD_MS: Final = 200
"""Least time between two plans of the whole queue, for each started `PLAN_PERIOD_JOBS` in it."""
PLAN_PERIOD_JOBS: Final = 500
