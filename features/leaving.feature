Feature: A backend server that is leaving receives no new work

  Scenario Outline: The state of one of two backend servers
    Given backend servers "b1" and "b2"
    And the ticket says that "b1" is "<ticket>"
    And the host list says that "b1" is "<host list>"
    When 20 calls are made
    Then "b1" received <received>
    And every call was answered

    Examples:
      | ticket  | host list | received |
      | live    | live      | work     |
      | leaving | live      | no work  |
      | live    | leaving   | no work  |
      | leaving | leaving   | no work  |

  Scenario: A call in progress ends normally
    Given backend servers "b1" and "b2"
    And a call is in progress at "b1"
    When the host list says that "b1" is leaving
    Then the call in progress is answered
    And 20 further calls reach "b2" only

  Scenario: All backend servers are leaving
    Given backend servers "b1" and "b2"
    And the host list says that "b1" is "leaving"
    And the host list says that "b2" is "leaving"
    When 1 calls are made
    Then the call is refused as not run
