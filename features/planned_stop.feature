Feature: A planned stop interrupts no request in progress

  Scenario: Requests in progress end before the host stops
    Given a host with 3 requests in progress
    When the host is stopped
    Then the host is not ready
    And the host waits for 3 requests
    And the host stops after the last request

  Scenario Outline: Requests that arrive after the stop began
    Given a host with 1 requests in progress
    And a notice period of 2 seconds
    When the host is stopped
    And the stop has lasted <seconds> seconds
    Then a new request is <result>

    Examples:
      | seconds | result             |
      | 0       | taken              |
      | 1.9     | taken              |
      | 2       | refused as not run |
      | 60      | refused as not run |

  Scenario: A stop that is taken back
    Given a host with 1 requests in progress
    When the host is stopped
    And the stop is taken back
    Then a new request is taken
