Feature: In every step all ranks of a group use one expert map

  Scenario: Experts become popular under traffic
    # Two experts of one rank become popular. The coordinator moves experts to balance
    # the ranks; every step runs on a single map and streams continue.
    Given a group of 3 ranks with agents and an entry
    And 4 callers stream 20 tokens each without pause
    When experts 0 and 1 become 12 times as popular
    Then the group comes to run on another map
    And no step was run on two maps
    When the callers stop
    Then every load answer is whole or a true not-run

  Scenario: The agent that coordinates is killed while experts move
    # At whatever point of the change, another agent takes the lease and settles the
    # map, and the group continues. The restarted agent's rank takes part again.
    Given a group of 3 ranks with agents and an entry
    When experts 0 and 1 become 12 times as popular
    And the agent that coordinates is killed
    Then the group goes on stepping
    When the killed agent is started again
    And experts 4 and 5 become 12 times as popular
    Then the group comes to run on another map
    And no step was run on two maps

  Scenario: The agent that coordinates is paused and wakes twice
    # The lease expires while the coordinator is paused. Once resumed, its orders carry
    # a lower fence and are refused. The same then happens to its successor.
    Given a group of 3 ranks with agents and an entry
    When experts 0 and 1 become 12 times as popular
    And the agent that coordinates is paused for 6 s
    Then the group goes on stepping
    When the agent that coordinates is paused for 6 s
    Then the group goes on stepping
    And no step was run on two maps

  Scenario: The platform is down while the agent that coordinates is killed
    # Two failures at once: no lease can be acquired, so no map changes. Ranks without a
    # pending change continue; once the platform is back a successor takes over.
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
    # SIGTERM, as in a rolling restart. The agent leaves no change half done, releases
    # its lease and leaves; another agent acquires the lease before it would have
    # expired, and no stream is cut.
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
