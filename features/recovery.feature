Feature: Recovery of a shard's engine memory
  After the loss of an entry host, owner, release or response, only running
  requests hold memory of an engine, and no running request is freed.

  Background:
    Given the owner has taken over the shard

  Scenario Outline: An entry host crashes or is replaced
    Given entry host "h1" runs request "h1.1.7" on 2 pieces
    And entry host "h2" runs request "h2.1.7" on 1 pieces
    When entry host "h1" <event>
    And the owner polls 2 times
    Then the engine holds "h2.1.7"
    And the ledger holds "h2.1.7"

    Examples:
      | event       |
      | crashes     |
      | is replaced |

  Scenario Outline: The owner crashes
    Given entry host "h1" runs request "h1.1.7" on <pieces> pieces
    When another host takes over the shard
    Then the ledger holds "h1.1.7"
    And a request for <asked> pieces <outcome>

    Examples:
      | pieces | asked | outcome    |
      | 3      | 1     | is granted |
      | 3      | 2     | waits      |
      | 4      | 1     | waits      |

  Scenario: Entry host and owner crash at the same time
    Given entry host "h1" runs request "h1.1.7" on 4 pieces
    When entry host "h1" crashes
    And another host takes over the shard
    And the owner polls 1 times
    Then the engine holds nothing
    And a request for 1 pieces is granted

  Scenario Outline: Messages about the end of a request are lost
    Given entry host "h1" runs request "h1.1.7" on 2 pieces
    When the request "h1.1.7" ends and <lost>
    And the owner polls <polls> times
    Then the engine holds nothing
    And the ledger holds nothing

    Examples:
      | lost                                 | polls |
      | its release is lost                  | 6     |
      | the engine is not notified           | 3     |
      | neither owner nor engine is notified | 34    |

  Scenario Outline: The host of a running request seems dead or does not respond
    Given entry host "h1" runs request "h1.1.7" on 2 pieces
    When entry host "h1" <event>
    And the owner polls 40 times
    Then the engine holds "h1.1.7"

    Examples:
      | event                                          |
      | is live but does not respond                   |
      | is declared dead but responds                  |
      | is considered dead by an owner in the minority |

  Scenario: A grant of an overlapping owner is recorded in the ledger
    Given entry host "h1" runs request "h1.1.9" that the owner does not know
    When the owner polls 3 times
    Then the engine holds "h1.1.9"
    And the ledger holds "h1.1.9"
