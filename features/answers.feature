Feature: Every caller gets the whole answer, once, and nothing stays held

  Scenario Outline: One fault
    Given a model request for six tokens
    And an engine fails with "<code>" at "<stage>"
    When the request runs
    Then the caller has the whole answer once
    And no engine memory and no grant is held

    Examples:
      | stage    | code               |
      | prefill  | ENGINE_FAILED      |
      | transfer | TRANSFER_FAILED    |
      | transfer | PREFILL_EVICTED    |
      | transfer | ENGINE_MEMORY_FULL |
      | decode   | STREAM_INTERRUPTED |
      | decode   | ENGINE_FAILED      |

  Scenario Outline: Two faults
    Given a model request for six tokens
    And an engine fails with "<code>" at "<stage>"
    And an engine fails with "<second code>" at "<second stage>"
    When the request runs
    Then the caller has the whole answer once
    And no engine memory and no grant is held

    Examples:
      | stage    | code               | second stage | second code        |
      | prefill  | ENGINE_FAILED      | prefill      | ENGINE_FAILED      |
      | prefill  | ENGINE_FAILED      | transfer     | PREFILL_EVICTED    |
      | prefill  | ENGINE_FAILED      | decode       | STREAM_INTERRUPTED |
      | transfer | PREFILL_EVICTED    | decode       | STREAM_INTERRUPTED |

  Scenario Outline: A stream that breaks is resumed without a gap or a repetition
    Given a model request for six tokens
    And the stream of "http://d1" breaks before token <token>
    When the request runs
    Then the caller has the whole answer once
    And no engine memory and no grant is held

    Examples:
      | token |
      | 0     |
      | 1     |
      | 5     |

  Scenario Outline: A stream with crossed tokens never looks whole
    Given a model request for six tokens
    And the engines send the tokens "<tokens>"
    When the request runs
    Then the request fails
    And the caller has the first <delivered> tokens only
    And no engine memory and no grant is held

    Examples:
      | tokens  | delivered |
      | 0 2     | 1         |
      | 0 1 1   | 2         |
      | 3 0 1   | 0         |

  Scenario Outline: The caller disconnects
    Given a model request for six tokens
    When the caller disconnects at "<stage>"
    Then no engine memory and no grant is held

    Examples:
      | stage    |
      | prefill  |
      | transfer |
      | decode   |
