Feature: One owner at a time, and every crash leaves gangs whole

  Background:
    Given a shard with 4 workers in 2 zones

  Scenario Outline: The owner dies at a step between
    When the owner will crash before <step>
    And job "a" with 4 tasks of 8 accelerators runs for 8 s
    And 300 ms pass
    And another process starts
    Then job "a" becomes <state> within 60000 ms
    And no task ran twice at once
    And no gang was partial for longer than 12000 ms
    And nothing is held or left on any worker

    Examples:
      | step                       | state    |
      | it stores the placement    | finished |
      | it sends a reservation     | finished |
      | it sends a start           | finished |
      | it stores that the job ran | finished |
      | it stores the end          | finished |
      | it releases a task         | finished |

  Scenario: A running gang is adopted by the next owner
    When job "a" with 4 tasks of 8 accelerators runs for 30 s
    And 2000 ms pass
    And another process starts
    And the owner crashes
    Then job "a" becomes finished within 45000 ms
    And job "a" took 1 attempt

  Scenario Outline: A row that a newer version wrote is no reason to stop its tasks
    When job "a" with 2 tasks of 8 accelerators runs for 30 s
    And 2000 ms pass
    And the row of job "a" has <change>
    And the owner crashes
    And another process starts
    And 10000 ms pass
    Then 2 tasks of job "a" run

    Examples:
      | change           |
      | an unknown field |
      | an unknown state |

  Scenario: A cancellation that was stored is carried out by the next owner
    When job "a" with 4 tasks of 8 accelerators runs for 300 s
    And 1000 ms pass
    And worker "w1" loses requests
    And job "a" is cancelled
    And 20 ms pass
    And the owner crashes
    And another process starts
    And 8000 ms pass
    And worker "w1" answers again
    Then job "a" becomes cancelled within 5000 ms
    And nothing is held or left on any worker

  Scenario Outline: An owner that was paused does nothing twice
    Given another process starts
    When the owner <pause>
    And job "a" with 4 tasks of 8 accelerators runs for 30 s
    And 1000 ms pass
    And the owner is frozen for 9000 ms
    And 25000 ms pass
    Then job "a" becomes finished within 60000 ms
    And no task ran twice at once

    Examples:
      | pause                                   |
      | is frozen for 1 ms                      |
      | freezes for 1500 ms as it sends a start |
      | freezes for 9000 ms as it sends a start |

  Scenario: A worker that the next owner can't reach keeps its tasks held for the longer time
    When job "a" with 1 task of 8 accelerators runs for 900 s
    And 1000 ms pass
    And worker "w0" refuses connections
    And the owner crashes
    And another process starts
    And 120000 ms pass
    Then job "a" is placed on "w0"
    And job "a" becomes running elsewhere than "w0" within 600000 ms
