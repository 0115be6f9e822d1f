Feature: An accepted configuration is applied on every router and is never reverted

  Background:
    Given 3 routers that have the first configuration

  Scenario: One of two racing preset changes wins
    When routers 1 and 2 activate "peak" and "maintenance" on version 1 at the same time
    Then one change is accepted as version 2
    And the other is refused with "CONFIG_CONFLICT" and its detail names version 2
    And every router has applied version 2

  Scenario: Racing changes of different items are both accepted
    When routers 1 and 2 take zones "a" and "b" out at the same time
    Then both changes are accepted
    And every router has applied version 3
    And zones "a, b" are taken out

  Scenario: A stale push does not revert a newer version
    Given pushes to router 3 are delayed
    When router 1 activates "peak"
    And router 2 activates "maintenance"
    And router 3 polls the table service
    And the delayed pushes reach router 3 in reverse order
    Then every router has applied version 3
    And router 3 has applied the preset "maintenance"

  Scenario: A router that receives no pushes applies a change after a poll
    Given pushes to router 3 are delayed
    When router 3 polls the table service
    And router 1 takes zone "a" out
    And router 3 polls the table service
    Then every router has applied version 2

  Scenario: A router that missed more versions than the history keeps applies the newest one
    Given the history keeps 2 versions
    And pushes to router 3 are delayed
    When router 3 polls the table service
    And router 1 activates "peak"
    And router 1 activates "ordinary"
    And router 1 activates "maintenance"
    And router 1 takes zone "a" out
    And router 3 polls the table service
    Then every router has applied version 5

  Scenario Outline: A transaction of the table service has an unknown outcome
    Given the next transaction has the outcome "<outcome>"
    When router 1 activates "peak"
    Then the change is accepted as version 2
    And the history has 2 versions

    Examples:
      | outcome      |
      | lost_request |
      | lost_reply   |
      | late         |

  Scenario: A lost reply is followed by an outage
    Given the next transaction has the outcome "lost_reply"
    And the table service goes down after the next transaction for 3 calls
    When router 1 activates "peak"
    Then the change is accepted as version 2
    And every router has applied version 2

  Scenario: Changes during an outage are refused and have no effect
    Given the table service is down
    When router 1 activates "peak"
    Then the change is refused with "STORE_UNAVAILABLE"
    And every router has applied version 1

  Scenario: An operator repeats a change at another router
    When router 1 activates "peak" as change "c1"
    And router 2 takes zone "a" out
    And router 3 activates "peak" as change "c1"
    Then the change is accepted as version 2
    And the history has 3 versions

  Scenario: A frozen host does not delay changes at other hosts
    Given router 2 has read the configuration and is frozen before its write
    When router 1 activates "peak"
    And router 2 resumes its activation of "maintenance"
    Then the change is refused with "CONFIG_CONFLICT"
    And every router has applied version 2
