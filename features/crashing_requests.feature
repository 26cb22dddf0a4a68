Feature: A request that crashes every server that runs it

  Scenario: The caller sends it again and again at several entries
    # Each server that runs the request dies. After two deaths the request is refused as
    # quarantined, under any key and at any entry; the refusal says that earlier sends
    # ran. Other callers' requests are answered and never quarantined.
    Given a fleet of 2 entries, 4 engines and 0 services
    And every engine dies of "poison" and is started again
    And 4 callers stream 20 tokens each without pause
    When "poison pill" is sent up to 8 times under new keys at all entries
    And the callers stop
    Then at most 3 servers have died
    And the last send is refused as quarantined, not-run
    And no load call was refused as quarantined
    And at least 80 in 100 load calls are answered

  Scenario: Requests share a message, and no two are alike
    # Each server that runs a request with that message dies. Crashes are filed under
    # the message, since each request by itself crashes one or two servers only.
    Given a fleet of 2 entries, 5 engines and 0 services
    And every engine dies of "poison" and is started again
    And 4 callers stream 20 tokens each without pause
    When 8 different requests with the message "poison part" are sent at all entries
    And the callers stop
    Then at most 3 servers have died
    And the last send is refused as quarantined, not-run
    And no load call was refused as quarantined
    And at least 80 in 100 load calls are answered
