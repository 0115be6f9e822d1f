Feature: A shard has one owner at a time, and no crash leaves a gang partially running

  Background:
    Given a shard with 4 workers in 2 zones

  Scenario Outline: The owner crashes before a step of a job's execution
    When the owner will crash before <step>
    And job "a" with 4 tasks of 8 accelerators runs for 8 s
    And 300 ms pass
    And another process starts
    Then job "a" becomes <state> within 60000 ms
    And no task ran twice at the same time
    And no gang ran partially for longer than 12000 ms
    And no resources are allocated and no task remains on any worker

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

  Scenario Outline: The tasks of a job row that a newer software version wrote are not stopped
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

  Scenario: The next owner carries out a stored cancellation
    When job "a" with 4 tasks of 8 accelerators runs for 300 s
    And 1000 ms pass
    And worker "w1" loses requests
    And job "a" is cancelled
    And 20 ms pass
    And the owner crashes
    And another process starts
    And 8000 ms pass
    And worker "w1" recovers from its link fault
    Then job "a" becomes cancelled within 5000 ms
    And no resources are allocated and no task remains on any worker

  Scenario Outline: A paused owner does not start a task twice
    Given another process starts
    When the owner <pause>
    And job "a" with 4 tasks of 8 accelerators runs for 30 s
    And 1000 ms pass
    And the owner is frozen for 9000 ms
    And 25000 ms pass
    Then job "a" becomes finished within 60000 ms
    And no task ran twice at the same time

    Examples:
      | pause                                   |
      | is frozen for 1 ms                      |
      | freezes for 1500 ms as it sends a start |
      | freezes for 9000 ms as it sends a start |

  Scenario: Tasks on a worker that a new owner has never reached stay placed until a longer timeout
    When job "a" with 1 task of 8 accelerators runs for 900 s
    And 1000 ms pass
    And worker "w0" refuses connections
    And the owner crashes
    And another process starts
    And 120000 ms pass
    Then job "a" is placed on "w0"
    And job "a" becomes running on another worker than "w0" within 600000 ms
