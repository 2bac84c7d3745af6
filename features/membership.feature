Feature: Membership of entry hosts
  Hosts agree on which hosts are live although the platform's host list is
  outdated and hosts freeze, crash, restart or lose contact with each other.

  Background:
    Given 6 hosts in region "pwani" that know each other

  Scenario Outline: A host crashes, freezes or leaves
    When host "host-2" <event>
    And <seconds> seconds pass
    Then all other hosts consider "host-2" <state>

    Examples:
      | event     | seconds | state |
      | crashes   | 10      | dead  |
      | freezes   | 10      | dead  |
      | leaves    | 4       | dead  |

  Scenario: A suspected host resumes before it is declared dead
    When host "host-2" freezes
    And 1 seconds pass
    And host "host-2" resumes
    And 10 seconds pass
    Then all hosts consider "host-2" live
    And no host was declared dead

  Scenario: A host resumes with the same incarnation after it was declared dead
    When host "host-2" freezes
    And 30 seconds pass
    And host "host-2" resumes
    And 10 seconds pass
    Then all hosts consider "host-2" live
    And host "host-2" has increased its sequence number

  Scenario: A host is replaced within a second by a process with the same id
    When host "host-2" crashes
    And 0.5 seconds pass
    And host "host-2" starts with incarnation 2
    And 8 seconds pass
    Then all other hosts consider incarnation 1 of "host-2" replaced
    And all hosts consider incarnation 2 of "host-2" live

  Scenario Outline: Lost messages in one direction between two hosts
    Given messages from "<from>" to "<to>" are lost
    When 120 seconds pass
    Then no host was declared dead

    Examples:
      | from   | to     |
      | host-0 | host-1 |
      | host-4 | host-3 |

  Scenario: A host that receives no messages is declared dead and sees no majority
    Given messages from all hosts to "host-2" are lost
    When 20 seconds pass
    Then all other hosts consider "host-2" dead
    And host "host-2" sees no majority

  Scenario: The host list is outdated
    Given the host list names a host "gone" that does not respond
    And the host list lacks the live host "host-4"
    When 20 seconds pass
    Then all hosts consider "host-4" live
    And all hosts consider "gone" unknown
    And all hosts have finished their initial probes

  Scenario: A region is partitioned for an hour
    Given 4 hosts in region "vestland" that know the others
    When region "vestland" is partitioned
    And 3600 seconds pass
    Then hosts of "pwani" report region "vestland" as lost
    And each region considers all its own hosts live
    When the partition ends
    And 120 seconds pass
    Then no region is lost
    And all hosts consider "host-2" live
    And all hosts consider "vestland-1" live

  Scenario: Hosts crash during a partition
    Given 4 hosts in region "vestland" that know the others
    When region "vestland" is partitioned
    And 60 seconds pass
    And host "vestland-1" crashes
    And host "host-2" crashes
    And 600 seconds pass
    And the partition ends
    And 240 seconds pass
    Then all other hosts consider "vestland-1" dead
    And all other hosts consider "host-2" dead
