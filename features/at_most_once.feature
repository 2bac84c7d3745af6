Feature: A non-repeatable request runs at most once
  Unless a scenario says otherwise, host a is called at 0 s, host b at 3 s and
  host c at 60 s, all with the same key. Callers wait for 5 s. A host that does
  not respond for 2 s is considered dead.

  Scenario Outline: One fault, at a backend server that checks fences
    Given a backend server that checks fences
    And "<fault>" at "<point>" on host a for <seconds> s
    When host a is called at 0 s
    And host b is called at 3 s
    And host c is called at 60 s
    Then the request ran <ran> times
    And the results are "<answers>"
    And the record is "<record>"
    And no invariant is violated

    Examples:
      | fault | point | seconds | ran | answers | record |
      | lost answer | intent | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost answer | dispatched | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost answer | done | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost request | intent | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost request | dispatched | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost request | done | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | intent | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | dispatched | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | done | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | outage | intent | 4 | 1 | STORE_UNAVAILABLE not_run, OK 200, OK 200 | done |
      | outage | dispatched | 4 | 1 | STORE_UNAVAILABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | outage | done | 4 | 1 | OK 200, STORE_UNAVAILABLE unknown, OK 200 | done |
      | pause before | intent | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause before | dispatched | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause before | send | 8 | 1 | OUTCOME_UNKNOWN unknown, OK 200, OK 200 | done |
      | pause before | done | 8 | 1 | OK 200, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause after | intent | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause after | dispatched | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause after | send | 8 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause after | done | 8 | 1 | OK 200, OK 200, OK 200 | done |
      | crash before | intent | 0 | 1 | none, OK 200, OK 200 | done |
      | crash before | dispatched | 0 | 1 | none, OK 200, OK 200 | done |
      | crash before | send | 0 | 1 | none, OK 200, OK 200 | done |
      | crash before | done | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | intent | 0 | 1 | none, OK 200, OK 200 | done |
      | crash after | dispatched | 0 | 1 | none, OK 200, OK 200 | done |
      | crash after | send | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | done | 0 | 1 | none, OK 200, OK 200 | done |
      | refused connection | send | 0 | 1 | BACKEND_UNREACHABLE not_run, OK 200, OK 200 | done |
      | reset connection | send | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | lost request | send | 0 | 0 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | slow answer | send | 8 | 1 | OUTCOME_UNKNOWN unknown, REQUEST_IN_PROGRESS unknown, OK 200 | done |

  Scenario Outline: One fault, at a backend server that checks no fences
    Given a backend server that checks no fences
    And "<fault>" at "<point>" on host a for <seconds> s
    When host a is called at 0 s
    And host b is called at 3 s
    And host c is called at 60 s
    Then the request ran <ran> times
    And the results are "<answers>"
    And the record is "<record>"
    And no invariant is violated

    Examples:
      | fault | point | seconds | ran | answers | record |
      | lost answer | intent | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost answer | dispatched | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost answer | done | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost request | intent | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost request | dispatched | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | lost request | done | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | intent | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | dispatched | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | done | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | outage | intent | 4 | 1 | STORE_UNAVAILABLE not_run, OK 200, OK 200 | done |
      | outage | dispatched | 4 | 1 | STORE_UNAVAILABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | outage | done | 4 | 1 | OK 200, STORE_UNAVAILABLE unknown, OK 200 | done |
      | pause before | intent | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause before | dispatched | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause before | send | 8 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | done | 8 | 1 | OK 200, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause after | intent | 8 | 1 | DEADLINE_BEFORE_START not_run, OK 200, OK 200 | done |
      | pause after | dispatched | 8 | 1 | DEADLINE_BEFORE_START not_run, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause after | send | 8 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause after | done | 8 | 1 | OK 200, OK 200, OK 200 | done |
      | crash before | intent | 0 | 1 | none, OK 200, OK 200 | done |
      | crash before | dispatched | 0 | 1 | none, OK 200, OK 200 | done |
      | crash before | send | 0 | 0 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash before | done | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | intent | 0 | 1 | none, OK 200, OK 200 | done |
      | crash after | dispatched | 0 | 0 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | send | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | done | 0 | 1 | none, OK 200, OK 200 | done |
      | refused connection | send | 0 | 1 | BACKEND_UNREACHABLE not_run, OK 200, OK 200 | done |
      | reset connection | send | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | lost request | send | 0 | 0 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | slow answer | send | 8 | 1 | OUTCOME_UNKNOWN unknown, REQUEST_IN_PROGRESS unknown, OK 200 | done |

  Scenario Outline: Two faults, at a backend server that checks fences
    Given a backend server that checks fences
    And "<fault>" at "<point>" on host a for <seconds> s
    And "<second>" at "<second point>" on host <host> for <second seconds> s
    When host a is called at 0 s
    And host b is called at 3 s
    And host c is called at 60 s
    Then the request ran <ran> times
    And the results are "<answers>"
    And the record is "<record>"
    And no invariant is violated

    Examples:
      | fault | point | seconds | host | second | second point | second seconds | ran | answers | record |
      | outage | dispatched | 4 | a | crash before | cancelled | 0 | 1 | STORE_UNAVAILABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | pause before | send | 8 | b | lost answer | fence | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | crash after | fence | 0 | 1 | OUTCOME_UNKNOWN unknown, none, OK 200 | done |
      | pause before | send | 8 | b | crash after | cancelled | 0 | 1 | OUTCOME_UNKNOWN unknown, none, OK 200 | done |
      | pause before | send | 8 | b | lost answer | cancelled | 0 | 1 | OUTCOME_UNKNOWN unknown, OK 200, OK 200 | done |
      | pause before | send | 8 | b | pause before | send | 8 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | late write | intent | 1.5 | 1 | OUTCOME_UNKNOWN unknown, OK 200, OK 200 | done |
      | crash before | send | 0 | b | crash before | send | 0 | 1 | none, none, OK 200 | done |
      | crash after | send | 0 | b | lost answer | unknown | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | send | 0 | b | lost request | fence | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | reset connection | send | 0 | a | outage | unknown | 4 | 1 | OUTCOME_UNKNOWN unknown, STORE_UNAVAILABLE unknown, OUTCOME_UNKNOWN unknown | unknown |
      | refused connection | send | 0 | a | outage | cancelled | 4 | 1 | BACKEND_UNREACHABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | refused connection | send | 0 | b | reset connection | send | 0 | 1 | BACKEND_UNREACHABLE not_run, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | lost answer | intent | 0 | a | lost answer | dispatched | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | intent | 1.5 | a | late write | dispatched | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | lost answer | dispatched | 0 | a | outage | read | 4 | 1 | STORE_UNAVAILABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | lost answer | done | 0 | a | crash before | read | 0 | 1 | none, OK 200, OK 200 | done |
      | slow answer | send | 8 | a | outage | done | 4 | 1 | OUTCOME_UNKNOWN unknown, REQUEST_IN_PROGRESS unknown, OK 200 | done |

  Scenario Outline: Two faults, at a backend server that checks no fences
    Given a backend server that checks no fences
    And "<fault>" at "<point>" on host a for <seconds> s
    And "<second>" at "<second point>" on host <host> for <second seconds> s
    When host a is called at 0 s
    And host b is called at 3 s
    And host c is called at 60 s
    Then the request ran <ran> times
    And the results are "<answers>"
    And the record is "<record>"
    And no invariant is violated

    Examples:
      | fault | point | seconds | host | second | second point | second seconds | ran | answers | record |
      | outage | dispatched | 4 | a | crash before | cancelled | 0 | 1 | STORE_UNAVAILABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | pause before | send | 8 | b | lost answer | fence | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | crash after | fence | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | crash after | cancelled | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | lost answer | cancelled | 0 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | pause before | send | 8 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | pause before | send | 8 | b | late write | intent | 1.5 | 1 | OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown, OK 200 | done |
      | crash before | send | 0 | b | crash before | send | 0 | 0 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | send | 0 | b | lost answer | unknown | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | crash after | send | 0 | b | lost request | fence | 0 | 1 | none, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | reset connection | send | 0 | a | outage | unknown | 4 | 1 | OUTCOME_UNKNOWN unknown, STORE_UNAVAILABLE unknown, OUTCOME_UNKNOWN unknown | unknown |
      | refused connection | send | 0 | a | outage | cancelled | 4 | 1 | BACKEND_UNREACHABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | refused connection | send | 0 | b | reset connection | send | 0 | 1 | BACKEND_UNREACHABLE not_run, OUTCOME_UNKNOWN unknown, OUTCOME_UNKNOWN unknown | unknown |
      | lost answer | intent | 0 | a | lost answer | dispatched | 0 | 1 | OK 200, OK 200, OK 200 | done |
      | late write | intent | 1.5 | a | late write | dispatched | 1.5 | 1 | OK 200, OK 200, OK 200 | done |
      | lost answer | dispatched | 0 | a | outage | read | 4 | 1 | STORE_UNAVAILABLE not_run, STORE_UNAVAILABLE unknown, OK 200 | done |
      | lost answer | done | 0 | a | crash before | read | 0 | 1 | none, OK 200, OK 200 | done |
      | slow answer | send | 8 | a | outage | done | 4 | 1 | OUTCOME_UNKNOWN unknown, REQUEST_IN_PROGRESS unknown, OK 200 | done |

  Scenario: Two hosts receive the same key at the same time
    Given a backend server that checks no fences
    When host a is called at 0 s
    And host b is called at 0 s
    Then the request ran 1 times
    And the results are "OK 200, OK 200"
    And no invariant is violated

  Scenario: The same key is used with another body
    Given a backend server that checks fences
    When host a is called at 0 s
    And host b is called at 3 s with another body
    Then the request ran 1 times
    And the results are "OK 200, IDEMPOTENCY_KEY_REUSED not_run"
    And no invariant is violated

  Scenario: A host paused before sending is fenced off by a later attempt
    Given a backend server that checks fences
    And "pause before" at "send" on host a for 8 s
    When host a is called at 0 s with 30 s of patience
    And host b is called at 3 s
    Then the request ran 1 times
    And the results are "OK 200, OK 200"
    And no invariant is violated

  Scenario: A host paused before sending is fenced off, and the later attempt's host crashes before it sends
    Given a backend server that checks fences
    And "pause before" at "send" on host a for 8 s
    And "crash after" at "cancelled" on host b for 0 s
    When host a is called at 0 s with 30 s of patience
    And host b is called at 3 s
    Then the request ran 0 times
    And the results are "CONFLICTING_ATTEMPT not_run, none"
    And the record is "cancelled"
    And no invariant is violated

  Scenario: The sending host restarts and receives the retry
    Given a backend server that checks fences
    And "slow answer" at "send" on host a for 20 s
    When host a is called at 0 s
    And host a restarts at 2 s
    And host a is called at 3 s
    Then the request ran 1 times
    And the results are "none, OUTCOME_UNKNOWN unknown"
    And the record is "unknown"
    And no invariant is violated

  Scenario: The backend server responds after the caller's deadline
    Given a backend server that checks no fences
    And "slow answer" at "send" on host a for 8 s
    When host a is called at 0 s with 1 s of patience
    And host b is called at 3 s with 30 s of patience
    Then the request ran 1 times
    And the results are "OUTCOME_UNKNOWN unknown, OK 200"
    And no invariant is violated
