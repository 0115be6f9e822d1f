Feature: A workspace can always reclaim its guaranteed shape

  Background:
    Given a shard with 4 workers in 2 zones, planned by guarantees
    And workspace "lab" holds 2 worker cells
    And workspace "guest" holds nothing

  Scenario: Borrowers make room within the grace time
    When "guest" fills the shard with checkpointable jobs of 1 task of 8 accelerators for 300 s
    And 5000 ms pass
    And job "a" with 2 tasks of 8 accelerators runs for 5 s
    Then job "a" becomes running within 35000 ms
    And job "a" becomes finished within 10000 ms

  Scenario: Borrowers without checkpoints make room too
    When "guest" fills the shard with jobs of 1 task of 8 accelerators for 300 s
    And 5000 ms pass
    And job "a" with 2 tasks of 8 accelerators runs for 5 s
    Then job "a" becomes running within 35000 ms

  Scenario: Reclaiming goes on when a borrower's worker is lost
    When "guest" fills the shard with checkpointable jobs of 1 task of 8 accelerators for 300 s
    And 5000 ms pass
    And worker "w0" refuses connections
    And job "a" with 2 tasks of 8 accelerators runs for 5 s
    Then job "a" becomes running within 60000 ms
