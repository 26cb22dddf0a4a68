Feature: A caller gets the whole answer to its own request

  Scenario: Links freeze under interleaved streams
    # All open connections to one agent go silent for good while new ones work. The
    # entries notice, open new links and resume; every caller sees its own bytes, whole.
    Given a fleet of 2 entries, 2 engines and 0 services behind relays
    And engine engine-1 takes 40 ms for each step
    And engine engine-2 takes 40 ms for each step
    When 12 streams "freeze" of 60 tokens are spread over the entries
    And engine-1 has 3 runs
    And the relay of engine-1 is set to freeze-open
    And the relay of engine-1 is set to pass
    Then all 12 streams "freeze" get their 60 tokens

  Scenario: Links are cut under interleaved streams
    # Connections break and are made anew; the answers go on at their offsets.
    Given a fleet of 2 entries, 1 engines and 0 services behind relays
    And engine engine-1 takes 40 ms for each step
    When 8 streams "cut" of 60 tokens are spread over the entries
    And engine-1 has 8 runs
    And the relay of engine-1 is set to cut
    And the relay of engine-1 is set to pass
    Then all 8 streams "cut" get their 60 tokens

  Scenario: The server's open connections go silent for good
    # Something between agent and server lost track of a connection. The agent asks on a
    # new one, learns that the engine still runs the request, and resumes there.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When 4 streams "mute" of 60 tokens are spread over the entries
    And engine-1 has 4 runs
    And the open connections to the server of engine-1 go silent
    Then all 4 streams "mute" get their 60 tokens

  Scenario: The agent dies in the middle of a stream
    # The rest can't be had: the caller's connection is cut without the mark of a whole
    # answer, and the last event says unknown.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When "cut" streams 100 tokens from entry-1
    And engine-1 has 2 runs
    And 0.5 s pass
    And agent engine-1 is killed
    Then "cut" is cut off and told outcome unknown

  Scenario: A caller leaves in the middle of its stream
    # Nobody waits for the rest: the engine stops the run, the place is free again, and
    # the trace says that the caller left.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When a caller leaves a stream of 400 tokens at entry-1 after its first bytes
    Then nothing is under way at entry-1 and engine-1

  Scenario: The server answers under another request's id
    # A crossed answer is never passed on, even if that costs the request.
    Given a fleet of 1 entries, 1 engines and 0 services
    When engine engine-1 crosses its answers
    And "crossed" streams 5 tokens from entry-1
    Then "crossed" is told outcome unknown
