Feature: A gang runs with all of its tasks or not at all

  Background:
    Given a shard with 4 workers in 2 zones

  Scenario Outline: A task that cannot start stops the whole gang at once
    Given worker "w2" <fault>
    When job "a" with 4 tasks of 8 accelerators runs for 6 s
    And 4000 ms pass
    Then no task of job "a" ever started
    When worker "w2" recovers from its link fault
    Then job "a" becomes finished within 40000 ms
    And no gang ran partially for longer than 2500 ms

    Examples:
      | fault               |
      | refuses connections |
      | loses requests      |
      | loses replies       |

  Scenario: Duplicate late replies have no effect
    Given worker "w1" duplicates replies
    When job "a" with 4 tasks of 8 accelerators runs for 6 s
    Then job "a" becomes finished within 10000 ms
    And job "a" took 1 attempt

  Scenario: A duplicate reply is not taken for the reply to a lost start command
    Given worker "w1" loses start commands and duplicates replies
    When job "a" with 4 tasks of 8 accelerators runs for 4 s
    And 5000 ms pass
    Then no gang ran partially for longer than 2500 ms
    When worker "w1" recovers from its link fault
    Then job "a" becomes finished within 20000 ms

  Scenario: A restart of a worker stops the gang, which then runs again as a whole
    When job "a" with 4 tasks of 8 accelerators runs for 6 s
    And 2000 ms pass
    And worker "w1" restarts
    And 1500 ms pass
    Then no gang ran partially for longer than 1500 ms
    And job "a" becomes finished within 20000 ms
    And job "a" took 2 attempts

  Scenario: A gang with checkpoints resumes from the checkpoint that all of its tasks stored
    When checkpointable job "a" with 2 tasks of 8 accelerators runs for 20 s
    And 10000 ms pass
    And job "a" is preempted with a checkpoint
    Then job "a" becomes finished within 16000 ms
    And job "a" took 2 attempts

  Scenario: A task is not placed elsewhere while an unreachable worker may still run it
    When job "a" with 1 task of 8 accelerators runs for 60 s
    And 1000 ms pass
    And worker "w0" loses requests
    And 9000 ms pass
    Then 1 task of job "a" runs
    When 4000 ms pass
    Then job "a" is placed on "w0"
    And job "a" becomes running on another worker than "w0" within 20000 ms

  Scenario: A refused reservation requeues the gang before any task starts
    Given worker "w3" runs a task of 8 accelerators that belongs to no stored job
    And worker "w3" replies after 600 ms
    When job "a" with 4 tasks of 8 accelerators runs for 2 s
    And 200 ms pass
    Then no task of job "a" ever started
    And job "a" becomes finished within 20000 ms
    And job "a" took 2 attempts

  Scenario: A task that exceeds its declared memory is throttled only if its worker runs short of memory
    When job "a" with 1 task of 4 accelerators runs for 30 s and uses 500 GB
    And job "b" with 1 task of 4 accelerators runs for 30 s
    And 7000 ms pass
    Then no decision "throttle" is logged
    When job "c" with 2 tasks of 1 accelerators runs for 30 s and uses 500 GB
    And 7000 ms pass
    Then a decision "throttle" is logged

  Scenario: A task that belongs to no stored job is stopped
    Given worker "w3" runs a task of 1 accelerators that belongs to no stored job
    When 1500 ms pass
    Then worker "w3" has no task

  Scenario: A lost release command is retried
    Given worker "w0" loses release commands
    When job "a" with 1 task of 8 accelerators runs for 2 s
    And 5000 ms pass
    Then job "a" becomes finished within 1 ms
    When worker "w0" recovers from its link fault
    And 3000 ms pass
    Then worker "w0" has no task

  Scenario: Cancelling a running gang stops all of its tasks
    When job "a" with 4 tasks of 8 accelerators runs for 60 s
    And 1000 ms pass
    And job "a" is cancelled
    And 500 ms pass
    Then no task of job "a" runs
    And the last call is answered with OK
    And job "a" becomes cancelled within 2000 ms
