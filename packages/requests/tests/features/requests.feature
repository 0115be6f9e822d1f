Feature: Outcomes of requests and executor choice
  Routers are named h1, h2, ...; executors x1, x2, ....  "order" is a non-idempotent request
  with an id from the caller, which must be claimed; "query" is an idempotent request; "note" is a
  non-idempotent request without an id from the caller, which needs no claim.

  Scenario: Answers that arrive out of order go to their own callers
    Given 1 routers and 2 executors with 2 slots
    When order A is sent to h1
    And order B is sent to h1
    And query C is sent to h1
    And every request reaches its executor
    And the answers arrive in reverse order
    Then A, B and C have their own answers

  Scenario: An answer after the deadline is recorded and returned to a repeated request
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1 within 300 ms
    And every request reaches its executor
    And 300 ms pass
    Then A has the outcome unknown with OUTCOME_UNKNOWN
    When all messages are delivered
    And order A is sent to h2 again
    And all messages are delivered
    Then A gets the recorded answer
    And A ran 1 times

  Scenario Outline: Claim rows are removed after their retention
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And every request reaches its executor
    And <end>
    And all messages are delivered
    Then the table has 1 rows
    When 2 hours pass
    And all messages are delivered
    Then the table has 0 rows

    Examples:
      | end                                 |
      | the answers arrive in reverse order |
      | every reply is lost                 |

  Scenario: A request repeated at another router while it runs is reported as in progress
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And every request reaches its executor
    And order A is sent to h2 again
    And the table service replies
    Then A has the outcome unknown with REQUEST_IN_PROGRESS
    And A ran 1 times

  Scenario: A request id reused with another body is refused
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And all messages are delivered
    And order A is sent to h2 with another body
    And the table service replies
    Then A has the outcome not run with REQUEST_ID_CONFLICT

  Scenario: A request is not sent again after its router was killed
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And every request reaches its executor
    And h1 is killed
    And order A is sent to h2 again
    And all messages are delivered
    Then A has the outcome unknown with REQUEST_IN_PROGRESS
    And A ran 1 times

  Scenario Outline: A request runs once if its claim write or the reply is lost or delayed
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And the claim write has the fault <fault>
    And all messages are delivered
    Then A is answered
    And A ran 1 times

    Examples:
      | fault        |
      | lost_request |
      | lost_reply   |
      | late         |

  Scenario: A claim write that arrives late does not block the request id
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1 within 300 ms
    And the claim write has the fault late
    And the table service becomes unavailable
    And the table service replies
    Then A has the outcome not run with REQUEST_STORE_OUT
    When the table service becomes available again
    And 2000 ms pass
    And all messages are delivered
    And order A is sent to h2 again
    And all messages are delivered
    Then A is answered
    And A ran 1 times

  Scenario: Without the table service, only requests that need a claim are refused
    Given 1 routers and 2 executors with 2 slots
    When the table service becomes unavailable
    And order A is sent to h1
    And the table service replies
    Then A has the outcome not run with REQUEST_STORE_OUT
    When query B is sent to h1
    And note C is sent to h1
    And all messages are delivered
    Then B is answered
    And C is answered

  Scenario: A non-idempotent request is not retried after a lost reply
    Given 1 routers and 2 executors with 2 slots
    When note A is sent to h1
    And every request reaches its executor
    And every reply is lost
    Then A has the outcome unknown with OUTCOME_UNKNOWN
    When all messages are delivered
    Then A ran 1 times

  Scenario: An idempotent request is retried after a lost reply
    Given 1 routers and 2 executors with 2 slots
    When query A is sent to h1
    And every request reaches its executor
    And every reply is lost
    And all messages are delivered
    Then A is answered
    And A ran 2 times

  Scenario: A request aborted after a lost attempt has the outcome unknown
    Given 1 routers and 1 executors with 1 slots
    When query A is sent to h1 within 300 ms
    And every request reaches its executor
    And x1 is listed as leaving
    And every reply is lost
    And 300 ms pass
    Then A has the outcome unknown with OUTCOME_UNKNOWN

  Scenario: A request sent to two routers runs once if the first claim write is lost
    Given 2 routers and 2 executors with 2 slots
    When order A is sent to h1
    And the claim write has the fault lost_request
    And order A is sent to h2 again
    And all messages are delivered
    Then A ran 1 times

  Scenario: A request is sent to another executor if the connection fails
    Given 1 routers and 2 executors with 2 slots
    When note A is sent to h1
    And every connection attempt fails
    And all messages are delivered
    Then A is answered
    And A ran 1 times

  Scenario: A request that is still queued at its deadline is not run
    Given 1 routers and 1 executors with 1 slots
    When query A is sent to h1
    And query B is sent to h1 within 200 ms
    And 200 ms pass
    Then B has the outcome not run with DEADLINE_UNREACHABLE
    And B gets a retry delay
    When all messages are delivered
    Then B ran 0 times

  Scenario: A full queue refuses requests and returns a retry delay
    Given 1 routers and 1 executors with 1 slots
    And a queue limit of 2 requests
    When query A is sent to h1
    And query B is sent to h1
    And query C is sent to h1
    And query D is sent to h1
    Then D has the outcome not run with OVERLOADED
    And D gets a retry delay

  Scenario: Retries stop when the retry budget is exhausted
    Given 1 routers and 8 executors with 8 slots
    And a retry budget ratio of 0
    When 30 queries are sent to h1
    And 10 rounds of attempts are lost
    Then between 1 and 10 retries ran

  Scenario: An executor that is listed as leaving gets no new requests
    Given 1 routers and 2 executors with 2 slots
    When x1 is listed as leaving
    And 4 queries are sent to h1
    Then no request is in flight to x1
    When all messages are delivered
    Then x1 ran 0 requests

  Scenario: An executor that refuses as leaving gets no new requests while listed as live
    Given 1 routers and 2 executors with 2 slots
    When x1 starts to leave but is still listed as live
    And 2 queries are sent to h1
    And all messages are delivered
    And 2 queries are sent to h1
    Then no request is in flight to x1

  Scenario: A zone that is out of service gets no new requests
    Given 1 routers and 2 executors with 2 slots
    When zone1 is taken out of service
    And 4 queries are sent to h1
    Then no request is in flight to x1

  Scenario: A draining router completes admitted requests and refuses new ones
    Given 1 routers and 1 executors with 1 slots
    When order A is sent to h1
    And query B is sent to h1
    And query D is sent to h1
    And h1 starts to drain
    And query C is sent to h1
    Then C has the outcome not run with SHUTTING_DOWN
    When all messages are delivered
    Then A is answered
    And B is answered
    And D is answered
    And h1 is idle

  Scenario: Failing executors are ejected up to a limit and return after a trial
    Given 1 routers and 10 executors with 8 slots
    When every attempt at x1, x2, x3, x4 and x5 fails for 300 ms
    Then 3 executors are ejected
    When 3000 ms pass
    And 40 queries are sent to h1
    And all messages are delivered
    And 40 queries are sent to h1
    And all messages are delivered
    Then 0 executors are ejected

  Scenario: All routers together stay within an executor's connection limit
    Given 3 routers and 1 executors with 8 slots
    When 5 queries are sent to each router
    Then 6 requests are in flight to x1

  Scenario: A router with its share of slots leaves freed slots to a router with less
    Given 2 routers and 2 executors with 4 slots
    When 40 queries are sent to h1
    And every request reaches its executor
    And 8 queries are sent to h2
    And 12 requests of h1 finish while the routers exchange load notices
    Then h1 has at most 4 requests in flight
    And h2 has at least 3 requests in flight

  Scenario: A stalled executor is ejected
    Given 1 routers and 10 executors with 1 slots
    When 30 queries are sent to h1
    And all messages except the replies of x1 are delivered
    And 1500 ms pass
    Then 1 executors are ejected

  Scenario: Idempotent requests at a stalled executor are sent to another executor
    Given 1 routers and 10 executors with 1 slots
    When query A is sent to h1
    And note B is sent to h1
    And every request reaches its executor
    And 20 queries are sent to h1
    And all messages except the first replies to A and B are delivered
    And 1500 ms pass
    And all messages except the first replies to A and B are delivered
    Then A is answered
    And A ran 2 times
    And B ran 1 times
    When all messages are delivered
    Then B is answered

  Scenario: An executor with a much higher latency than the others is ejected
    Given 1 routers and 5 executors with 1 slots
    When x1 answers 25 requests in 600 ms each and the others in 50 ms each
    And 300 ms pass
    Then 1 executors are ejected

  Scenario: A request with a distant deadline is not starved by urgent requests
    Given 1 routers and 1 executors with 1 slots
    When query A is sent to h1
    And query B is sent to h1 within 60000 ms
    And 40 urgent queries arrive one by one while requests finish
    Then B is answered
