Feature: Membership of entry hosts
  Hosts agree on who is live although the platform's list lags and hosts
  freeze, die, return and are cut off from each other.

  Background:
    Given 6 hosts in region "pwani" that know each other

  Scenario Outline: A process that ends is known everywhere
    When host "host-2" <event>
    And <seconds> seconds pass
    Then all other hosts hold "host-2" for <state>

    Examples:
      | event     | seconds | state |
      | dies      | 10      | dead  |
      | freezes   | 10      | dead  |
      | leaves    | 4       | dead  |

  Scenario: A suspicion is refuted in time
    When host "host-2" freezes
    And 1 seconds pass
    And host "host-2" returns
    And 10 seconds pass
    Then all hosts hold "host-2" for live
    And nobody died

  Scenario: A frozen host returns under the same incarnation
    When host "host-2" freezes
    And 30 seconds pass
    And host "host-2" returns
    And 10 seconds pass
    Then all hosts hold "host-2" for live
    And host "host-2" has raised its sequence

  Scenario: A host is replaced within a second under the same id
    When host "host-2" dies
    And 0.5 seconds pass
    And host "host-2" starts with incarnation 2
    And 8 seconds pass
    Then all other hosts hold incarnation 1 of "host-2" for replaced
    And all hosts hold incarnation 2 of "host-2" for live

  Scenario Outline: Partial cuts kill nobody
    Given messages from "<from>" to "<to>" are lost
    When 120 seconds pass
    Then nobody died

    Examples:
      | from   | to     |
      | host-0 | host-1 |
      | host-4 | host-3 |

  Scenario: A host that nobody can reach is dead and does not take over
    Given messages from all hosts to "host-2" are lost
    When 20 seconds pass
    Then all other hosts hold "host-2" for dead
    And host "host-2" sees no majority

  Scenario: The list lags behind
    Given the list names a host "gone" that does not answer
    And the list lacks the live host "host-4"
    When 20 seconds pass
    Then all hosts hold "host-4" for live
    And all hosts hold "gone" for unknown
    And all hosts have settled

  Scenario: A region is cut off for an hour
    Given 4 hosts in region "vestland" that know the others
    When region "vestland" is cut off
    And 3600 seconds pass
    Then hosts of "pwani" report "vestland" as lost
    And each region holds all its own hosts for live
    When the cut ends
    And 120 seconds pass
    Then no region is lost
    And all hosts hold "host-2" for live
    And all hosts hold "vestland-1" for live

  Scenario: Deaths during a cut are known after it
    Given 4 hosts in region "vestland" that know the others
    When region "vestland" is cut off
    And 60 seconds pass
    And host "vestland-1" dies
    And host "host-2" dies
    And 600 seconds pass
    And the cut ends
    And 240 seconds pass
    Then all other hosts hold "vestland-1" for dead
    And all other hosts hold "host-2" for dead
