Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Two operators race
    # Both submit for the same version. One submission is accepted; the other is
    # rejected with the reason, and none of its manifest takes effect.
    Given a fleet of 2 entries, 1 engines and 0 services
    When two operators submit different manifests for the version they both saw
    Then one is accepted and the other is told that it lost the race
    And every process is on the accepted version within 7 s

  Scenario: The confirmation of a submission is lost
    # The index was written but the response was lost. The command reads it back and
    # reports that the manifest was accepted.
    Given a fleet of 1 entries, 1 engines and 0 services
    And the platform loses the answers of the next 50 writes
    When an operator submits a manifest for the version seen, with path "/v1/new"
    Then the submission is accepted
    And every process is on the accepted version within 7 s

  Scenario: A paused entry wakes after two changes
    # The entry missed both versions. In whatever order it learns of them, it ends on
    # the latest and serves the new path.
    Given a fleet of 2 entries, 1 engines and 0 services
    When entry entry-1 is paused
    And an operator submits a manifest in which "/v1/one" leads to the engines
    And an operator submits a manifest in which "/v1/two" leads to the engines
    And entry entry-1 is woken
    Then every process is on the accepted version within 7 s
    And only path "/v1/two" is served by entry-1, not "/v1/one"

  Scenario: Reads are stale after the platform comes back
    # The platform returns an old version for a while; no process reverts to it.
    Given a fleet of 2 entries, 1 engines and 0 services
    When an operator submits a manifest in which "/v1/new" leads to the engines
    Then every process is on the accepted version within 7 s
    When the platform is down
    And 1 s pass
    And the platform's reads are 1 versions behind
    And the platform is up
    And 3 s pass
    Then path "/v1/new" is served by entry-1
    And path "/v1/new" is served by entry-2
    When the platform's reads are 0 versions behind
    Then every process is on the accepted version within 7 s

  Scenario: An entry that lost the platform follows its peer
    # Only its connection to the platform is cut. It learns of the newer version from a
    # peer's heartbeat and copies the objects from that peer.
    Given a fleet of 1 entries, 1 engines and 0 services
    And an entry that reaches the platform through a relay
    When the relay to the platform is set to cut
    And an operator submits a manifest in which "/v1/new" leads to the engines
    Then path "/v1/new" is served by entry-relayed

  Scenario: A fresh entry starts in an outage
    # The platform is down. The new entry gets the list of instances from the seed
    # addresses in its settings and copies the manifest from peers.
    Given a fleet of 2 entries, 1 engines and 0 services
    And the platform is down
    When a fresh entry starts with entry-1 and entry-2 as seeds
    Then path "/v1/completions" is served by entry-fresh

  Scenario: A request in progress ends under the manifest it was admitted with
    # The organisation is removed while its answer is streamed: the stream completes,
    # and the next request is refused.
    Given a fleet of 1 entries, 1 engines and 0 services
    And engine engine-1 takes 50 ms for each step
    When "under way" streams 60 tokens from entry-1
    And engine-1 has 2 runs
    And an operator submits a manifest without the organisation
    Then every process is on the accepted version within 7 s
    And "under way" gets its 60 tokens
    When "too late" streams 5 tokens from entry-1
    Then "too late" is told 401 with outcome not-run

  Scenario: The platform goes down during a change and an entry is paused
    # Two failures at once: the index is accepted, then the platform goes down while one
    # entry is paused. Resumed in the outage, the entry gets the change from its peer.
    Given a fleet of 2 entries, 1 engines and 0 services
    When entry entry-1 is paused
    And an operator submits a manifest in which "/v1/new" leads to the engines
    And entry-2 already serves path "/v1/new"
    And the platform is down
    And entry entry-1 is woken
    Then path "/v1/new" is served by entry-1
