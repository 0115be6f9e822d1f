Feature: A write whose reply was lost is treated as an unknown outcome

  Background:
    Given a shard with 4 workers in 2 zones

  Scenario: A submission whose store reply is lost can be repeated and is accepted once
    Given the store loses replies
    When job "a" with 1 task of 8 accelerators runs for 2 s
    And 50 ms pass
    Then the last call is answered with JOB_OUTCOME_UNKNOWN
    Given the store recovers
    When job "a" with 1 task of 8 accelerators runs for 2 s
    And 1000 ms pass
    Then the last call is answered with OK
    And job "a" becomes finished within 10000 ms

  Scenario: A cancellation with an unknown write outcome is answered once and carried out
    When job "a" with 2 tasks of 8 accelerators runs for 60 s
    And 1000 ms pass
    And the store loses replies
    And job "a" is cancelled
    And 50 ms pass
    Then the last call is answered with JOB_OUTCOME_UNKNOWN
    Given the store recovers
    Then job "a" becomes cancelled within 10000 ms

  Scenario: A write that is applied late does not overwrite newer rows
    Given the store applies writes late
    When job "a" with 1 task of 8 accelerators runs for 1 s
    And 50 ms pass
    And the store recovers
    Then job "a" becomes finished within 8000 ms
    When 10000 ms pass
    Then job "a" becomes finished within 1 ms

  Scenario: A late placement write of a former owner is rejected by fencing
    When job "a" with 1 task of 8 accelerators runs for 1 s
    And 6 ms pass
    And the store applies writes late
    And 150 ms pass
    And the owner crashes
    And the store recovers
    And worker "w0" refuses connections
    And worker "w1" refuses connections
    And worker "w2" refuses connections
    And worker "w3" refuses connections
    And another process starts
    And 12000 ms pass
    Then job "a" becomes queued within 1 ms

  Scenario: A known job id with another specification is refused
    When job "a" with 1 task of 8 accelerators runs for 2 s
    And 50 ms pass
    And job "a" with 2 tasks of 8 accelerators runs for 2 s
    Then the last call is answered with JOB_ID_CONFLICT

  Scenario: A job that can never run is refused at once
    When job "a" with 5 tasks of 8 accelerators runs for 2 s
    Then the last call is answered with JOB_NEVER_FITS

  Scenario Outline: A placement with an unknown write outcome never runs at the same time as the next placement
    When job "a" with 2 tasks of 8 accelerators runs for 4 s
    And 6 ms pass
    And the store <fault>
    And 1500 ms pass
    And the store recovers
    Then job "a" becomes finished within 30000 ms
    And no task ran twice at the same time
    And no resources are allocated and no task remains on any worker

    Examples:
      | fault              |
      | loses replies      |
      | loses requests     |
      | applies writes late |
      | is down            |

  Scenario: During a store outage running tasks continue and no task starts
    When job "a" with 2 tasks of 8 accelerators runs for 60 s
    And 1000 ms pass
    And the store is down
    And 30000 ms pass
    Then 2 tasks of job "a" run
    When job "b" with 1 task of 8 accelerators runs for 2 s
    Then the last call is answered with STORE_UNAVAILABLE
    And job "a" is placed on "w0"
    When 40000 ms pass
    And the store recovers
    Then job "a" becomes finished within 5000 ms
    And job "a" took 1 attempt

  Scenario: Bursts of submissions and cancellations are stored in batches
    When 40 jobs with 1 task of 8 accelerators run for 900 s
    And 1000 ms pass
    And all queued jobs are cancelled
    And 1000 ms pass
    Then 36 jobs are cancelled, in at most 3 transactions

  Scenario: A full queue refuses more jobs
    Given at most 3 jobs may be queued
    When 4 jobs with 1 task of 8 accelerators run for 900 s
    And 1000 ms pass
    And 3 jobs with 1 task of 8 accelerators run for 900 s
    And job "a" with 1 task of 8 accelerators runs for 2 s
    Then the last call is answered with JOB_QUEUE_FULL

  Scenario: An urgent job starts without waiting for the next tick
    When urgent job "a" with 4 tasks of 8 accelerators runs for 2 s
    Then job "a" becomes running within 40 ms
