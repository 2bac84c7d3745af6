Feature: A graceful shutdown interrupts no request in progress

  Scenario: A host shuts down with requests in progress
    Given a host with 3 requests in progress
    When the host shuts down
    Then the host is not ready
    And the host waits for 3 requests
    And the shutdown completes after the last request

  Scenario Outline: A request arrives after the shutdown began
    Given a host with 1 requests in progress
    And a notice period of 2 seconds
    When the host shuts down
    And the shutdown has lasted <seconds> seconds
    Then a new request is <result>

    Examples:
      | seconds | result             |
      | 0       | accepted           |
      | 1.9     | accepted           |
      | 2       | refused as not run |
      | 60      | refused as not run |

  Scenario: A shutdown is cancelled
    Given a host with 1 requests in progress
    When the host shuts down
    And the shutdown is cancelled
    Then a new request is accepted
