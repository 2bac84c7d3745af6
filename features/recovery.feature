Feature: Recovery of a shard's engine memory
  Memory of an engine is held by running requests only, whichever of entry
  host, owner, release or answer is lost, and no running request is freed.

  Background:
    Given the owner has taken over the shard

  Scenario Outline: An entry host ends
    Given entry host "h1" runs request "h1.1.7" on 2 pieces
    And entry host "h2" runs request "h2.1.7" on 1 pieces
    When entry host "h1" <event>
    And the owner polls 2 times
    Then the engine holds "h2.1.7"
    And the account holds "h2.1.7"

    Examples:
      | event       |
      | dies        |
      | is replaced |

  Scenario Outline: The owner dies
    Given entry host "h1" runs request "h1.1.7" on <pieces> pieces
    When another host takes over the shard
    Then the account holds "h1.1.7"
    And a request for <asked> pieces <outcome>

    Examples:
      | pieces | asked | outcome |
      | 3      | 1     | is granted |
      | 3      | 2     | waits      |
      | 4      | 1     | waits      |

  Scenario: Entry host and owner die together
    Given entry host "h1" runs request "h1.1.7" on 4 pieces
    When entry host "h1" dies
    And another host takes over the shard
    And the owner polls 1 times
    Then the engine holds nothing
    And a request for 1 pieces is granted

  Scenario Outline: Messages about the end of a request are lost
    Given entry host "h1" runs request "h1.1.7" on 2 pieces
    When the request "h1.1.7" ends and <lost>
    And the owner polls <polls> times
    Then the engine holds nothing
    And the account holds nothing

    Examples:
      | lost                                 | polls |
      | its release is lost                  | 6     |
      | the engine was not told              | 3     |
      | neither owner nor engine was told    | 34    |

  Scenario Outline: A running request is never freed
    Given entry host "h1" runs request "h1.1.7" on 2 pieces
    When entry host "h1" <event>
    And the owner polls 40 times
    Then the engine holds "h1.1.7"

    Examples:
      | event                                |
      | answers nothing but is live          |
      | was declared dead but answers        |
      | is dead to an owner in the minority  |

  Scenario: A grant of an overlapping owner is taken into the account
    Given entry host "h1" runs request "h1.1.9" that the owner does not know
    When the owner polls 3 times
    Then the engine holds "h1.1.9"
    And the account holds "h1.1.9"
