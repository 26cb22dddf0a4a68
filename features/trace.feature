Feature: What became of one request can be told after its processes are gone

  Scenario: Both processes have been replaced since
    # Entry and agent stopped gracefully and wrote their batches, so the trace is as
    # complete as it was while they ran.
    Given a fleet of 2 entries, 2 engines and 0 services
    When "asked" streams 8 tokens from entry-1
    Then "asked" gets its 8 tokens
    When every process of "asked" is stopped
    Then the story of "asked" is whole, from batches, with outcome ran

  Scenario: The entry is killed before its batch goes out
    # The entry's events are lost with it. The agent's events still tell what ran; the
    # trace reports the caller's outcome as missing and does not infer it.
    Given a fleet of 2 entries, 2 engines and 0 services
    When "asked" streams 8 tokens from entry-1
    Then "asked" gets its 8 tokens
    When the entry of "asked" is killed at once
    Then the story of "asked" says that entry-1 is missing and the agent's attempt ran

  Scenario: The platform is down while it happens, and the processes go afterwards
    # Batches wait for the platform and are written once it is back, before the
    # processes end. No event is lost.
    Given a fleet of 2 entries, 2 engines and 0 services
    And the platform is down
    When "asked" streams 8 tokens from entry-1
    Then "asked" gets its 8 tokens
    When 3 s pass
    And the platform is up
    And the batches of "asked" are on the platform
    And every process of "asked" is killed
    Then the story of "asked" is whole, from batches, with outcome ran

  Scenario: The platform is down while an engineer asks
    # The list of instances can't be read, so the engineer passes the entry's address.
    # The running entry still knows the outcome, and the trace names the processes that
    # can't be reached.
    Given a fleet of 1 entries, 1 engines and 0 services
    When "asked" streams 8 tokens from entry-1
    Then "asked" gets its 8 tokens
    When the platform is down
    Then the story of "asked" by address tells outcome ran and names engine-1 as missing

  Scenario: The entry is killed and the engineer has only the caller's key
    # The claim made under the key names the request and its agent, so no other process
    # has to be queried.
    Given a fleet of 2 entries, 1 engines and 2 services
    When "asked" reserves part "p-1" at entry-1 with key "k-1"
    Then "asked" gets the whole answer
    When the entry of "asked" is killed at once
    Then the story by key "k-1" is that of "asked" and one agent tells that it ran
