Feature: A leaving backend server receives no new calls

  Scenario Outline: One of two backend servers is leaving
    Given backend servers "b1" and "b2"
    And the ticket says that "b1" is "<ticket>"
    And the host list says that "b1" is "<host list>"
    When 20 calls are made
    Then "b1" received <received>
    And every call received a response

    Examples:
      | ticket  | host list | received |
      | live    | live      | work     |
      | leaving | live      | no work  |
      | live    | leaving   | no work  |
      | leaving | leaving   | no work  |

  Scenario: A backend server starts leaving during a call
    Given backend servers "b1" and "b2"
    And a call is in progress at "b1"
    When the host list says that "b1" is leaving
    Then the call in progress receives its response
    And 20 further calls are sent only to "b2"

  Scenario: All backend servers are leaving
    Given backend servers "b1" and "b2"
    And the host list says that "b1" is "leaving"
    And the host list says that "b2" is "leaving"
    When 1 calls are made
    Then the call is refused as not run
