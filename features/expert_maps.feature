Feature: In every step all ranks of a group use one expert map

  Scenario: Experts become popular under traffic
    # Two experts of one rank turn hot. The coordinator moves experts to even the ranks
    # out; the group steps on, every step on one map, and callers' streams go on.
    Given a group of 3 ranks with agents and an entry
    And 4 callers stream 20 tokens each without pause
    When experts 0 and 1 become 12 times as popular
    Then the group comes to run on another map
    And no step was run on two maps
    When the callers stop
    Then every load answer is whole or a true not-run

  Scenario: The agent that coordinates is killed while experts move
    # Whatever was under way, another agent takes the lease, settles the map and the
    # group steps on; the killed agent comes back and its rank takes part again.
    Given a group of 3 ranks with agents and an entry
    When experts 0 and 1 become 12 times as popular
    And the agent that coordinates is killed
    Then the group goes on stepping
    When the killed agent is started again
    And experts 4 and 5 become 12 times as popular
    Then the group comes to run on another map
    And no step was run on two maps

  Scenario: The agent that coordinates is paused and wakes twice
    # Its lease lapses while it sleeps. It wakes as an old coordinator; its orders carry a
    # lower fence and are refused. The same happens again to its successor.
    Given a group of 3 ranks with agents and an entry
    When experts 0 and 1 become 12 times as popular
    And the agent that coordinates is paused for 6 s
    Then the group goes on stepping
    When the agent that coordinates is paused for 6 s
    Then the group goes on stepping
    And no step was run on two maps

  Scenario: The platform is down while the agent that coordinates is killed
    # Two failures at once: no lease can be taken, so no map changes. Ranks that hold no
    # change step on; once the platform is back a successor takes over.
    Given a group of 3 ranks with agents and an entry
    And an agent coordinates the group
    When the platform is down
    And the agent that coordinates is killed
    And the killed agent is started again
    And the platform is up
    And experts 0 and 1 become 12 times as popular
    Then the group comes to run on another map
    And no step was run on two maps

  Scenario: The agent that coordinates is stopped as planned while experts move
    # SIGTERM, as for a rolling restart. It ends no change halfway, gives its lease back and
    # leaves; another agent has the lease sooner than it would lapse, and nobody's stream
    # is cut.
    Given a group of 3 ranks with agents and an entry
    And an agent coordinates the group
    And 4 callers stream 20 tokens each without pause
    When experts 0 and 1 become 12 times as popular
    And the agent that coordinates is stopped as planned
    Then another agent coordinates within 4 s
    And the group goes on stepping
    When the killed agent is started again
    And experts 4 and 5 become 12 times as popular
    Then the group comes to run on another map
    And no step was run on two maps
    When the callers stop
    Then every load answer is whole or a true not-run
