Feature: A request that may not be repeated runs at most once

  Scenario: One key sent to two entries at once
    # Two devices of a caller send the same reservation concurrently. The platform
    # accepts one claim; the other entry joins that run, so both get the same answer.
    Given a fleet of 2 entries and 2 services, one of each in a data centre
    And service service-1 takes 500 ms for each call
    And service service-2 takes 500 ms for each call
    When "first" reserves part "PN-1" at entry-1 with key "twice"
    And "second" reserves part "PN-1" at entry-2 with key "twice"
    Then "first" and "second" get the same answer
    And key "twice" ran 1 times
    And no key ran twice and every not-run is true

  Scenario: The entry dies while the request runs
    # The caller's connection breaks and it retries at another entry. The claim names
    # the agent that holds the run, so the retry gets that run's answer.
    Given a fleet of 2 entries and 2 services, one of each in a data centre
    And service service-1 takes 1500 ms for each call
    And service service-2 takes 1500 ms for each call
    When "first" reserves part "PN-2" at entry-1 with key "entry-dies"
    And the run of key "entry-dies" has begun
    And entry entry-1 is killed
    And "again" reserves part "PN-2" at entry-2 with key "entry-dies"
    Then "again" gets the whole answer
    And key "entry-dies" ran 1 times
    And no key ran twice and every not-run is true

  Scenario: The entry is paused between claim and dispatch
    # The claim is stored but the dispatch was not sent. The retry at the other entry
    # raises the fence at the agent and runs; the resumed entry only joins that run.
    Given a fleet of 2 entries and 2 services, one of each in a data centre
    When the platform answers writes 1.5 s late
    And "first" reserves part "PN-3" at entry-1 with key "paused"
    And the claim of key "paused" exists
    And entry entry-1 is paused
    And the platform answers writes 0 s late
    And "again" reserves part "PN-3" at entry-2 with key "paused"
    Then "again" gets the whole answer
    When entry entry-1 is woken
    Then "first" is told outcome ran
    And key "paused" ran 1 times
    And no key ran twice and every not-run is true

  Scenario: The claim's confirmation is lost
    # The claim takes effect but the response is lost. The entry reads the claim back,
    # recognises its own nonce and continues; the caller sees no error.
    Given a fleet of 1 entries, 0 engines and 1 services
    And the platform loses the answers of the next 20 writes
    When "first" reserves part "PN-4" at entry-1 with key "unconfirmed"
    Then "first" gets the whole answer
    And key "unconfirmed" ran 1 times

  Scenario: The agent dies while the request runs
    # It can't be known whether the run took effect. The caller and every retry get
    # outcome unknown, also after the agent has restarted.
    Given a fleet of 2 entries and 2 services, one of each in a data centre
    And service service-1 takes 1500 ms for each call
    When "first" reserves part "PN-5" at entry-1 with key "agent-dies"
    And the run of key "agent-dies" has begun
    And agent service-1 is restarted
    Then "first" is told outcome unknown
    When "again" reserves part "PN-5" at entry-2 with key "agent-dies"
    Then "again" is told outcome unknown
    And key "agent-dies" ran 1 times
    And no key ran twice and every not-run is true

  Scenario: The platform is down
    # Without a claim a request that may not be repeated must not run: it is refused at
    # once as not-run. Repeatable requests are still served.
    Given a fleet of 1 entries, 1 engines and 1 services
    And the platform is down
    When "refused" reserves part "PN-6" at entry-1 with key "outage"
    And "stream" streams 5 tokens from entry-1
    Then "refused" is told 503 with outcome not-run
    And "stream" gets its 5 tokens
    And key "outage" ran 0 times
    When the platform is up
    And "again" reserves part "PN-6" at entry-1 with key "outage"
    Then "again" gets the whole answer
    And no key ran twice and every not-run is true

  Scenario: The same key with another body
    # An idempotency key identifies the first request; reusing it with another body is a
    # caller error.
    Given a fleet of 1 entries, 0 engines and 1 services
    When "first" reserves part "PN-7" at entry-1 with key "reused"
    Then "first" gets the whole answer
    When "other" reserves part "PN-8" at entry-1 with key "reused"
    Then "other" is told 422 with outcome not-run
    And key "reused" ran 1 times

  Scenario: The caller gives up waiting and sends again
    # The caller's own deadline passes while the request runs. The outcome is unknown,
    # not not-run, and the run continues; the retry gets its answer.
    Given a fleet of 1 entries, 0 engines and 1 services
    And service service-1 takes 2500 ms for each call
    When "hasty" reserves part "PN-11" at entry-1 with key "hasty" within 1 s
    Then "hasty" is told 504 with outcome unknown
    When "patient" reserves part "PN-11" at entry-1 with key "hasty"
    Then "patient" gets the whole answer
    And key "hasty" ran 1 times

  Scenario: The entry and the agent die together
    # Both processes that knew of the run are gone. The retry finds the claim, but the
    # incarnation of the agent that it names has ended, so the outcome is unknown.
    Given a fleet of 2 entries, 0 engines and 1 services
    And service service-1 takes 1500 ms for each call
    When "first" reserves part "PN-9" at entry-1 with key "both-die"
    And the run of key "both-die" has begun
    And entry entry-1 is killed
    And agent service-1 is restarted
    And "again" reserves part "PN-9" at entry-2 with key "both-die"
    Then "again" is told outcome unknown
    And key "both-die" ran 1 times
    And no key ran twice and every not-run is true

  Scenario: The link between entry and agent freezes while the request runs
    # The connection accepts data but never answers. The entry opens a new one and
    # resumes the run there; it never dispatches to a second agent.
    Given a fleet of 1 entries, 0 engines and 1 services behind relays
    And service service-1 takes 3000 ms for each call
    When "first" reserves part "PN-10" at entry-1 with key "frozen"
    And the run of key "frozen" has begun
    And the relay of service-1 is set to freeze-open
    And the relay of service-1 is set to pass
    Then "first" gets the whole answer
    And key "frozen" ran 1 times
    And no key ran twice and every not-run is true
