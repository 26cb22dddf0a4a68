Feature: A caller gets the whole answer to its own request

  Scenario: Links freeze under interleaved streams
    # All open connections to one agent stop responding for good while new ones work.
    # The entries detect it, reconnect and resume; every caller gets its own bytes,
    # complete.
    Given a fleet of 2 entries, 2 engines and 0 services behind relays
    And engine engine-1 takes 40 ms for each step
    And engine engine-2 takes 40 ms for each step
    When 12 streams "freeze" of 60 tokens are spread over the entries
    And engine-1 has 3 runs
    And the relay of engine-1 is set to freeze-open
    And the relay of engine-1 is set to pass
    Then all 12 streams "freeze" get their 60 tokens

  Scenario: Links are cut under interleaved streams
    # Connections break and are reopened; the answers resume at their offsets.
    Given a fleet of 2 entries, 1 engines and 0 services behind relays
    And engine engine-1 takes 40 ms for each step
    When 8 streams "cut" of 60 tokens are spread over the entries
    And engine-1 has 8 runs
    And the relay of engine-1 is set to cut
    And the relay of engine-1 is set to pass
    Then all 8 streams "cut" get their 60 tokens

  Scenario: The server's open connections go silent for good
    # A middlebox between agent and server lost track of a connection. The agent asks on
    # a new one, learns that the engine still runs the request, and resumes there.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When 4 streams "mute" of 60 tokens are spread over the entries
    And engine-1 has 4 runs
    And the open connections to the server of engine-1 go silent
    Then all 4 streams "mute" get their 60 tokens

  Scenario: The agent dies in the middle of a stream
    # The rest of the answer is lost: the caller's connection is closed without the
    # marker of a complete answer, and the last event has outcome unknown.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When "cut" streams 100 tokens from entry-1
    And engine-1 has 2 runs
    And 0.5 s pass
    And agent engine-1 is killed
    Then "cut" is cut off and told outcome unknown

  Scenario: A caller leaves in the middle of its stream
    # The engine stops the run, its slot is released, and the trace says that the caller
    # disconnected.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When a caller leaves a stream of 400 tokens at entry-1 after its first bytes
    Then nothing is under way at entry-1 and engine-1

  Scenario: The server answers under another request's id
    # An answer with a foreign id is never forwarded, even if the request then fails.
    Given a fleet of 1 entries, 1 engines and 0 services
    When engine engine-1 crosses its answers
    And "crossed" streams 5 tokens from entry-1
    Then "crossed" is told outcome unknown
