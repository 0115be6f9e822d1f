Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given 3 routers that have the first configuration

  Scenario: One of two racing preset changes wins
    When routers 1 and 2 activate "peak" and "maintenance" on version 1 at the same time
    Then one change is accepted as version 2
    And the other is refused with "CONFIG_CONFLICT" and names version 2
    And every router has version 2 in force

  Scenario: Racing changes of different items are both accepted
    When routers 1 and 2 take zones "a" and "b" out at the same time
    Then both changes are accepted
    And every router has version 3 in force
    And zones "a, b" are out

  Scenario: An old push does not revert a newer version
    Given pushes to router 3 are held back
    When router 1 activates "peak"
    And router 2 activates "maintenance"
    And router 3 polls the table service
    And the held pushes reach router 3 in reverse order
    Then every router has version 3 in force
    And the preset "maintenance" is in force at router 3

  Scenario: A router that gets no pushes learns of a change by its poll
    Given pushes to router 3 are held back
    When router 3 polls the table service
    And router 1 takes zone "a" out
    And router 3 polls the table service
    Then every router has version 2 in force

  Scenario: A router that was away for longer than the history is kept
    Given the history keeps 2 versions
    And pushes to router 3 are held back
    When router 3 polls the table service
    And router 1 activates "peak"
    And router 1 activates "ordinary"
    And router 1 activates "maintenance"
    And router 1 takes zone "a" out
    And router 3 polls the table service
    Then every router has version 5 in force

  Scenario Outline: An answer of the table service is lost
    Given the next transaction ends as "<outcome>"
    When router 1 activates "peak"
    Then the change is accepted as version 2
    And the history has 2 versions

    Examples:
      | outcome      |
      | lost_request |
      | lost_reply   |
      | late         |

  Scenario: An outage and a lost reply together
    Given the next transaction ends as "lost_reply"
    And the table service goes down after the next transaction for 3 calls
    When router 1 activates "peak"
    Then the change is accepted as version 2
    And every router has version 2 in force

  Scenario: Changes during an outage are refused and change nothing
    Given the table service is down
    When router 1 activates "peak"
    Then the change is refused with "STORE_UNAVAILABLE"
    And every router has version 1 in force

  Scenario: An operator repeats a change at another router
    When router 1 activates "peak" as change "c1"
    And router 2 takes zone "a" out
    And router 3 activates "peak" as change "c1"
    Then the change is accepted as version 2
    And the history has 3 versions

  Scenario: A host that was frozen through changes holds none of them back
    Given router 2 has read the configuration and is frozen before its write
    When router 1 activates "peak"
    And router 2 goes on to activate "maintenance"
    Then the change is refused with "CONFIG_CONFLICT"
    And every router has version 2 in force
