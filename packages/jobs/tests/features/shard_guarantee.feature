Feature: A workspace can always reclaim its guaranteed cells

  Background:
    Given a shard with 4 workers in 2 zones, planned by the guarantee planner
    And workspace "lab" has a guarantee of 2 worker cells
    And workspace "guest" has no guarantee

  Scenario: Borrowers release capacity within the checkpoint grace time
    When "guest" fills the shard with checkpointable jobs of 1 task of 8 accelerators for 300 s
    And 5000 ms pass
    And job "a" with 2 tasks of 8 accelerators runs for 5 s
    Then job "a" becomes running within 35000 ms
    And job "a" becomes finished within 10000 ms

  Scenario: Borrowers without checkpoints release capacity, too
    When "guest" fills the shard with jobs of 1 task of 8 accelerators for 300 s
    And 5000 ms pass
    And job "a" with 2 tasks of 8 accelerators runs for 5 s
    Then job "a" becomes running within 35000 ms

  Scenario: Reclaiming continues when a borrower's worker becomes unreachable
    When "guest" fills the shard with checkpointable jobs of 1 task of 8 accelerators for 300 s
    And 5000 ms pass
    And worker "w0" refuses connections
    And job "a" with 2 tasks of 8 accelerators runs for 5 s
    Then job "a" becomes running within 60000 ms
