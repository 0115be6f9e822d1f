Feature: What callers are promised
  Routers are named h1, h2, ...; executors x1, x2, ....  "order" is a non-idempotent request with
  an id of the caller's own, "query" an idempotent one, "note" a non-idempotent one without an id.

  Scenario: Answers that cross go to their own callers
    Given 1 routers and 2 executors with 2 slots
    When order A is sent to h1
    And order B is sent to h1
    And query C is sent to h1
    And every request reaches its executor
    And the answers arrive, the last first
    Then A, B and C have their own answers

  Scenario: A late answer goes to nobody, and is on record for a repeat
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1 within 300 ms
    And every request reaches its executor
    And 300 ms pass
    Then A has the outcome unknown with OUTCOME_UNKNOWN
    When everything is delivered
    And order A is sent to h2 again
    And everything is delivered
    Then A is answered from the record
    And A ran 1 times

  Scenario Outline: Claim rows are removed after their retention
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And every request reaches its executor
    And <end>
    And everything is delivered
    Then the table has 1 rows
    When 2 hours pass
    And everything is delivered
    Then the table has 0 rows

    Examples:
      | end                                |
      | the answers arrive, the last first |
      | every reply is lost                |

  Scenario: A repeat at another router while the first still runs
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And every request reaches its executor
    And order A is sent to h2 again
    And the table answers
    Then A has the outcome unknown with REQUEST_IN_PROGRESS
    And A ran 1 times

  Scenario: The same id with another body
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And everything is delivered
    And order A is sent to h2 with another body
    And the table answers
    Then A has the outcome not run with REQUEST_ID_CONFLICT

  Scenario: The router dies after sending a request
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And every request reaches its executor
    And h1 dies
    And order A is sent to h2 again
    And everything is delivered
    Then A has the outcome unknown with REQUEST_IN_PROGRESS
    And A ran 1 times

  Scenario Outline: The reply to the claim is lost
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And the claim is <fate>
    And everything is delivered
    Then A is answered
    And A ran 1 times

    Examples:
      | fate         |
      | lost_request |
      | lost_reply   |
      | late         |

  Scenario: A claim that arrives late does not block the id
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1 within 300 ms
    And the claim is late
    And the table goes out
    And the table answers
    Then A has the outcome not run with REQUEST_STORE_OUT
    When the table comes back
    And 2000 ms pass
    And everything is delivered
    And order A is sent to h2 again
    And everything is delivered
    Then A is answered
    And A ran 1 times

  Scenario: With the table out, claims are refused at once and the rest goes on
    Given 1 routers and 2 executors with 2 slots
    When the table goes out
    And order A is sent to h1
    And the table answers
    Then A has the outcome not run with REQUEST_STORE_OUT
    When query B is sent to h1
    And note C is sent to h1
    And everything is delivered
    Then B is answered
    And C is answered

  Scenario: A non-idempotent request is not repeated after a lost reply
    Given 1 routers and 2 executors with 2 slots
    When note A is sent to h1
    And every request reaches its executor
    And every reply is lost
    Then A has the outcome unknown with OUTCOME_UNKNOWN
    When everything is delivered
    Then A ran 1 times

  Scenario: An idempotent request is repeated at another executor
    Given 1 routers and 2 executors with 2 slots
    When query A is sent to h1
    And every request reaches its executor
    And every reply is lost
    And everything is delivered
    Then A is answered
    And A ran 2 times

  Scenario: After a lost attempt, giving up is no longer "not run"
    Given 1 routers and 1 executors with 1 slots
    When query A is sent to h1 within 300 ms
    And every request reaches its executor
    And x1 is listed as leaving
    And every reply is lost
    And 300 ms pass
    Then A has the outcome unknown with OUTCOME_UNKNOWN

  Scenario: Two routers claim an id, and the first claim never reaches the table
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And the claim is lost_request
    And order A is sent to h2 again
    And everything is delivered
    Then A ran 1 times

  Scenario: What can't be sent is sent elsewhere
    Given 1 routers and 2 executors with 2 slots
    When note A is sent to h1
    And no connection can be made
    And everything is delivered
    Then A is answered
    And A ran 1 times

  Scenario: A request that waits past its deadline did not run
    Given 1 routers and 1 executors with 1 slots
    When query A is sent to h1
    And query B is sent to h1 within 200 ms
    And 200 ms pass
    Then B has the outcome not run with DEADLINE_UNREACHABLE
    And B is told when to come back
    When everything is delivered
    Then B ran 0 times

  Scenario: A full queue refuses at once and says when to come back
    Given 1 routers and 1 executors with 1 slots
    And a queue of 2 requests
    When query A is sent to h1
    And query B is sent to h1
    And query C is sent to h1
    And query D is sent to h1
    Then D has the outcome not run with OVERLOADED
    And D is told when to come back

  Scenario: Retries stop when their budget is spent
    Given 1 routers and 8 executors with 8 slots
    And a retry budget of nothing
    When 30 queries are sent to h1
    And 10 rounds of attempts are lost
    Then at most 10 requests ran again

  Scenario: An executor that is listed as leaving gets nothing new
    Given 1 routers and 2 executors with 2 slots
    When x1 is listed as leaving
    And 4 queries are sent to h1
    Then nothing is on the way to x1
    When everything is delivered
    Then x1 ran 0 requests

  Scenario: An executor that refuses because it leaves gets nothing new although it is listed
    Given 1 routers and 2 executors with 2 slots
    When x1 starts to leave without notice
    And 2 queries are sent to h1
    And everything is delivered
    And 2 queries are sent to h1
    Then nothing is on the way to x1

  Scenario: A zone out of service gets nothing new
    Given 1 routers and 2 executors with 2 slots
    When zone1 is taken out
    And 4 queries are sent to h1
    Then nothing is on the way to x1

  Scenario: A stopping router finishes what it took
    Given 1 routers and 1 executors with 1 slots
    When order A is sent to h1
    And query B is sent to h1
    And query D is sent to h1
    And h1 is told to stop
    And query C is sent to h1
    Then C has the outcome not run with SHUTTING_DOWN
    When everything is delivered
    Then A is answered
    And B is answered
    And D is answered
    And h1 is idle

  Scenario: Failing executors are ejected up to a limit and return by trial
    Given 1 routers and 10 executors with 8 slots
    When x1, x2, x3, x4 and x5 fail every attempt for a while
    Then 3 executors are ejected
    When 3000 ms pass
    And 40 queries are sent to h1
    And everything is delivered
    And 40 queries are sent to h1
    And everything is delivered
    Then 0 executors are ejected

  Scenario: All routers together keep to an executor's connections
    Given 3 routers and 1 executors with 8 slots
    When 5 queries are sent to each router
    Then 6 requests are on the way to x1

  Scenario: A router that has its share leaves freed slots to one that is short
    Given 2 routers and 2 executors with 4 slots
    When 40 queries are sent to h1
    And every request reaches its executor
    And 8 queries are sent to h2
    And 12 requests finish while the routers tell each other
    Then h1 has at most 4 requests in flight
    And h2 has at least 3 requests in flight

  Scenario: An executor that answers nothing is ejected
    Given 1 routers and 10 executors with 1 slots
    When 30 queries are sent to h1
    And everything but the work of x1 is delivered
    And 1500 ms pass
    Then 1 executors are ejected

  Scenario: Idempotent requests that hang at a stalled executor are sent elsewhere
    Given 1 routers and 10 executors with 1 slots
    When query A is sent to h1
    And note B is sent to h1
    And every request reaches its executor
    And 20 queries are sent to h1
    And everything is delivered except for A and B
    And 1500 ms pass
    And everything is delivered except for A and B
    Then A is answered
    And A ran 2 times
    And B ran 1 times
    When everything is delivered
    Then B is answered

  Scenario: An executor that lags far behind the others is ejected
    Given 1 routers and 5 executors with 1 slots
    When x1 takes 600 ms and the others 50 ms for 25 requests each
    And 300 ms pass
    Then 1 executors are ejected

  Scenario: Requests that allow much time are not starved by others
    Given 1 routers and 1 executors with 1 slots
    When query A is sent to h1
    And query B is sent to h1 within 60000 ms
    And 40 urgent queries arrive while the slot is passed on
    Then B is answered
