Feature: Workers that leave or fail

  Background:
    Given a shard with 4 workers in 2 zones

  Scenario: No new task is placed on a leaving worker
    Given worker "w0" is listed as leaving
    When job "a" with 3 tasks of 8 accelerators runs for 2 s
    And job "b" with 1 task of 8 accelerators runs for 2 s
    And 20000 ms pass
    Then job "a" becomes finished within 1000 ms
    And job "b" becomes finished within 1000 ms
    And no task ever started on "w0"

  Scenario: A worker that starts leaving during reservations gets no start command
    Given worker "w0" replies after 400 ms
    When job "a" with 4 tasks of 8 accelerators runs for 5 s
    And 100 ms pass
    And worker "w0" is listed as leaving
    And 5000 ms pass
    Then no task ever started on "w0"

  Scenario: A worker that fails every task is quarantined, and its jobs finish on other workers
    Given worker "w0" fails every task
    When 8 jobs with 1 task of 8 accelerators run for 3 s
    Then all jobs become finished within 60000 ms
    And worker "w0" is quarantined
    When worker "w0" stops failing tasks
    And 61000 ms pass
    And 4 jobs with 1 task of 8 accelerators run for 3 s
    Then all jobs become finished within 60000 ms
    And worker "w0" is healthy

  Scenario: Jobs that fail on every worker end as failed, and no worker is quarantined
    When failing job "a" with 1 task of 8 accelerators runs for 3 s
    And failing job "b" with 1 task of 8 accelerators runs for 3 s
    And failing job "c" with 1 task of 8 accelerators runs for 3 s
    And failing job "d" with 1 task of 8 accelerators runs for 3 s
    Then job "a" becomes failed within 30000 ms
    And job "d" becomes failed within 30000 ms
    And job "a" ended with JOB_FAILS_EVERYWHERE
    And job "d" ended with JOB_FAILS_EVERYWHERE
    And no "worker_health" decision reports a quarantine
