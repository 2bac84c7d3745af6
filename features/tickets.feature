Feature: An accepted ticket is applied by every host and never reverts

  Background:
    Given an empty ticket log

  Scenario Outline: Requests or responses of the store are lost or late
    Given the next transactions have the faults "<faults>"
    When ticket 7 sets advice to v7
    Then the result is "accepted at 1"
    When ticket 7 sets advice to v7
    Then the result is "already accepted at 1"
    When ticket 7 sets advice to other
    Then the result is "conflict with 7 at 1"
    And the log holds the numbers 7

    Examples:
      | faults |
      | no fault |
      | lost answer |
      | lost request |
      | late write |
      | lost request, lost answer |
      | late write, lost request |
      | late write, late write |
      | lost request, late write, lost answer |

  Scenario Outline: Operators submit tickets at the same time
    Given the next transactions have the faults "<faults>"
    When tickets are sent at the same time
      | number | objects | version |
      | 3      | x       | v3      |
      | 1      | x,y     | v1      |
      | 2      | y       | v2      |
    And host a polls
    Then the log holds the numbers 1,2,3
    And host a has x at v3
    And host a has y at v2

    Examples:
      | faults |
      | no fault |
      | lost answer |
      | lost request, lost request |
      | late write, lost answer |
      | no fault, late write, late write |

  Scenario: A lower-numbered ticket accepted late changes only objects without a higher ticket
    When ticket 9 sets x to v9
    And host a polls
    And ticket 5 sets x,y to v5
    Then the result is "accepted at 2"
    When host a polls
    Then host a has x at v9
    And host a has y at v5

  Scenario: A superseded ticket is refused with the numbers of the higher tickets
    When ticket 9 sets x to v9
    And ticket 8 sets y to v8
    And ticket 5 sets x,y to v5
    Then the result is "superseded at 3 by model/x=9 model/y=8"

  Scenario: A store outage just after the acceptance leaves the outcome unknown
    Given the next transactions have the faults "outage after the write"
    When ticket 7 sets advice to v7
    Then the result is "STORE_UNAVAILABLE unknown"
    When the store becomes available again
    And host a polls
    Then host a has advice at v7
    When ticket 7 sets advice to v7
    Then the result is "already accepted at 1"

  Scenario: A store outage before the acceptance refuses the ticket as not run
    When the store becomes unavailable
    And ticket 7 sets advice to v7
    Then the result is "STORE_UNAVAILABLE not_run"

  Scenario: Hosts fetch a ticket from peers during a store outage
    When ticket 7 sets advice to v7
    And host a polls
    And the store becomes unavailable
    And host b starts
    Then host b is at position 0
    When host b fetches from host a
    And host c fetches from host b
    Then host b has advice at v7
    And host c has advice at v7

  Scenario: Fetching from an outdated peer reverts nothing
    When ticket 1 sets advice to v1
    And host old polls
    And ticket 2 sets advice to v2
    And host new polls
    And host new fetches from host old
    Then host new has advice at v2
    And host new is at position 2

  Scenario: A new host starts from the snapshot and the later tickets
    When ticket 1 sets x to v1
    And ticket 2 sets y to v2
    And host a polls
    And host a writes a snapshot
    And ticket 3 sets x to v3
    And the log is truncated up to 2
    And host new starts
    Then host new is at position 3
    And host new has x at v3
    And host new has y at v2

  Scenario: A host tries to replace a newer snapshot by an older one
    When ticket 1 sets advice to v1
    And host old polls
    And ticket 2 sets advice to v2
    And host new polls
    And host new writes a snapshot
    Then the result is "written"
    When host old writes a snapshot
    Then the result is "not_newer"
    When the log is truncated up to 2
    And host third starts
    Then host third has advice at v2
