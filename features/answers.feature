Feature: Every caller receives the complete response once and all capacity is freed

  Scenario Outline: One stage of a request fails once
    Given a model request for six tokens
    And an engine fails with "<code>" at "<stage>"
    When the request runs
    Then the caller receives the complete response exactly once
    And no engine memory and no grant remains held

    Examples:
      | stage    | code               |
      | prefill  | ENGINE_FAILED      |
      | transfer | TRANSFER_FAILED    |
      | transfer | PREFILL_EVICTED    |
      | transfer | ENGINE_MEMORY_FULL |
      | decode   | STREAM_INTERRUPTED |
      | decode   | ENGINE_FAILED      |

  Scenario Outline: Two stages of a request fail, or one fails twice
    Given a model request for six tokens
    And an engine fails with "<code>" at "<stage>"
    And an engine fails with "<second code>" at "<second stage>"
    When the request runs
    Then the caller receives the complete response exactly once
    And no engine memory and no grant remains held

    Examples:
      | stage    | code               | second stage | second code        |
      | prefill  | ENGINE_FAILED      | prefill      | ENGINE_FAILED      |
      | prefill  | ENGINE_FAILED      | transfer     | PREFILL_EVICTED    |
      | prefill  | ENGINE_FAILED      | decode       | STREAM_INTERRUPTED |
      | transfer | PREFILL_EVICTED    | decode       | STREAM_INTERRUPTED |

  Scenario Outline: A broken stream is resumed without missing or repeated tokens
    Given a model request for six tokens
    And the stream of "http://d1" breaks before token <token>
    When the request runs
    Then the caller receives the complete response exactly once
    And no engine memory and no grant remains held

    Examples:
      | token |
      | 0     |
      | 1     |
      | 5     |

  Scenario Outline: A stream with missing, repeated or reordered tokens fails
    Given a model request for six tokens
    And the engines send the tokens "<tokens>"
    When the request runs
    Then the request fails
    And the caller receives only the first <delivered> tokens
    And no engine memory and no grant remains held

    Examples:
      | tokens  | delivered |
      | 0 2     | 1         |
      | 0 1 1   | 2         |
      | 3 0 1   | 0         |

  Scenario Outline: The caller disconnects during a stage
    Given a model request for six tokens
    When the caller disconnects at "<stage>"
    Then no engine memory and no grant remains held

    Examples:
      | stage    |
      | prefill  |
      | transfer |
      | decode   |
