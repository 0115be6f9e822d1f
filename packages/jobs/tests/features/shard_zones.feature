Feature: No task starts in a zone later than a few seconds after the zone was taken out

  Background:
    Given a shard with 4 workers in 2 zones

  Scenario: The owner is notified of a closure only after seconds
    When zone "z0" is closed and the owner is notified after 8000 ms
    And 3100 ms pass
    And job "a" with 1 task of 8 accelerators runs for 2 s
    And 4000 ms pass
    Then no task started in a closed zone after the allowed delay
    And job "a" becomes finished within 20000 ms
    And no task started in a closed zone after the allowed delay

  Scenario: The store confirms a placement late
    Given the store replies after 5 s
    When job "a" with 4 tasks of 8 accelerators runs for 2 s
    And 5400 ms pass
    And zone "z0" is closed and the owner is notified after 8000 ms
    And 8000 ms pass
    Then no task started in a closed zone after the allowed delay

  Scenario: A zone is closed while a start command is in flight
    Given worker "w0" replies after 600 ms
    When job "a" with 3 tasks of 8 accelerators runs for 5 s
    And 200 ms pass
    And zone "z0" is closed and the owner is notified after 50 ms
    And 12000 ms pass
    Then no task of job "a" ever started
    And no gang ran partially for longer than 2500 ms

  Scenario: The owner freezes as it sends the start commands
    When the owner freezes for 9000 ms as it sends a start
    And job "a" with 4 tasks of 8 accelerators runs for 5 s
    And 200 ms pass
    And zone "z0" is closed and the owner is notified after 50 ms
    And 20000 ms pass
    Then no task started in a closed zone after the allowed delay
    And no task ran twice at the same time

  Scenario: A stale configuration is ignored
    When zone "z0" is closed and the owner is notified after 50 ms
    And 100 ms pass
    And the owner receives the previous configuration again
    And job "a" with 2 tasks of 8 accelerators runs for 2 s
    Then job "a" becomes finished within 10000 ms
    And no task ever started on "w0"

  Scenario: Running gangs store a checkpoint and resume in the other zone
    When checkpointable job "a" with 2 tasks of 4 accelerators runs for 30 s
    And 10000 ms pass
    And zone "z0" is closed and the owner is notified after 50 ms
    And 3000 ms pass
    Then no task runs in zone "z0"
    And job "a" becomes finished within 25000 ms

  Scenario: If there is capacity for one gang, the gang with more unsaved work moves first
    When checkpointable job "b" with 1 tasks of 8 accelerators runs for 90 s
    And 200 ms pass
    And checkpointable job "c" with 1 tasks of 8 accelerators runs for 90 s
    And 10000 ms pass
    And checkpointable job "a" with 1 tasks of 8 accelerators runs for 90 s
    And 7000 ms pass
    And zone "z0" is closed and the owner is notified after 50 ms
    And 3000 ms pass
    Then job "b" is placed on "w3"
    And job "a" is placed on "w2"

  Scenario: A gang that will finish before the drain deadline is not moved
    When job "a" with 1 task of 8 accelerators runs for 12 s
    And 8000 ms pass
    And zone "z0" is closed and the owner is notified after 50 ms
    Then job "a" becomes finished within 8000 ms
    And job "a" took 1 attempt

  Scenario: A zone that is opened again causes no second move
    When checkpointable job "a" with 2 tasks of 8 accelerators runs for 30 s
    And 5000 ms pass
    And zone "z0" is closed and the owner is notified after 50 ms
    And 5000 ms pass
    And zone "z0" is opened
    Then job "a" becomes finished within 40000 ms
    And job "a" took 2 attempts
