Feature: Bad requests get a clear refusal and callers see only what is theirs

  Scenario: Each limit refuses with its own reason, truly not run
    # Malformed, unauthorised or oversized requests are refused by the entry with a
    # machine-readable reason and never reach a backend server.
    Given a fleet of 1 entries, 1 engines and 1 services
    Then these requests to entry-1 are refused as not-run
      | method | path             | key   | body         | header              | status | reason                  |
      | POST   | /v1/completions  |       | {}           |                     | 401    | no-key                  |
      | POST   | /v1/completions  | wrong | {}           |                     | 401    | bad-key                 |
      | POST   | /v1/nowhere      | own   | {}           |                     | 404    | no-route                |
      | GET    | /v1/completions  | own   |              |                     | 405    | bad-method              |
      | POST   | /v1/completions  | own   | not json     |                     | 400    | bad-request             |
      | POST   | /v1/completions  | own   | [1]          |                     | 400    | bad-request             |
      | POST   | /v1/completions  | own   | 5 MB         |                     | 413    | body-too-large          |
      | POST   | /v1/completions  | own   | {}           | X-Big: 20 KB        | 431    | headers-too-large       |
      | POST   | /v1/completions  | own   | {}           | Kingcupwheel-Deadline: soon | 400 | bad-request       |
      | POST   | /v1/reservations | own   | {}           |                     | 400    | idempotency-key-missing |

  Scenario: A body for which the entry has no memory is refused before it is read
    # Half of the memory of bodies is counted, since one is held twice on its way.
    Given a fleet of 1 entries, 1 engines and 1 services
    And entry-2 joins with 4 MB of memory for bodies
    Then these requests to entry-2 are refused as not-run
      | method | path             | key   | body         | header              | status | reason                  |
      | POST   | /v1/completions  | own   | 3 MB         |                     | 503    | body-memory             |
    When "small" streams 5 tokens from entry-2
    Then "small" gets its 5 tokens

  Scenario: An organisation sees only its own requests
    # A request id of another organisation is answered like an id that does not exist.
    Given a fleet of 1 entries, 1 engines and 0 services
    When "mine" streams 5 tokens from entry-1
    Then "mine" gets its 5 tokens
    And its organisation reads what became of "mine" at entry-1
    And another organisation does not find "mine" at entry-1
    And operators find "mine" at entry-1 and see it healthy

  Scenario: A flood of one organisation is refused at once and the other is served
    # One organisation exceeds its allowance by far. Each refusal says when to retry,
    # and all requests of the other organisation are answered.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 20 ms for each step
    When the first organisation sends 60 requests at once with an allowance of 8
    And the other organisation sends 10 requests meanwhile
    Then the flood has answers and refusals, each refusal with a time to come back
    And all requests of the other organisation are answered
