Feature: Leaving and planned stops cut nobody off

  Scenario: Every agent and every entry is replaced under load
    # Callers stream continuously while the processes are stopped and replaced one by
    # one. Each stream lasts longer than a leaving entry accepts new ones, so every stop
    # finds streams in progress. None is cut, lost or duplicated.
    Given a fleet of 2 entries, 2 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    And engine engine-2 takes 50 ms for each step
    And 6 callers stream 100 tokens each without pause
    When each agent is replaced in turn
    And each entry is replaced in turn
    And the callers stop
    Then every load answer is whole or a true not-run
    And at least 90 in 100 load calls are answered
    And no key ran twice and every not-run is true

  Scenario: An agent is paused while the list says it leaves
    # A paused agent can't announce that it leaves. The platform's list is enough: no
    # new work is placed there and no request waits for it.
    Given a fleet of 1 entries, 2 engines and 0 services
    When the list says that engine-1 is leaving
    And 1.5 s pass
    And agent engine-1 is paused
    And 8 streams "around" of 10 tokens are spread over the entries
    Then all 8 streams "around" get their 10 tokens
    And none of 8 streams "around" was placed on engine-1

  Scenario: A leaving agent is heard though the platform is down
    # The list can't be read. The agent announces itself that it leaves, and no request
    # is placed there from then on.
    Given a fleet of 1 entries, 2 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    And engine engine-2 takes 50 ms for each step
    And 4 callers stream 20 tokens each without pause
    When the platform is down
    And agent engine-2 is told to stop
    And 0.5 s pass
    And 8 streams "around" of 10 tokens are spread over the entries
    Then all 8 streams "around" get their 10 tokens
    When the callers stop
    Then every load answer is whole or a true not-run
    And at least 90 in 100 load calls are answered
    When the platform is up
    Then none of 8 streams "around" was placed on engine-2
