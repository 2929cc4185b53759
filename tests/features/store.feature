Feature: A conditional write has a known outcome even if its answer is lost

  Scenario Outline: Write a document under a fault
    Given a store with <before>
    And the fault is <fault>
    When a document is written if the version is <expected>
    Then the outcome is <outcome>
    And the store has the new document <count> times

    Examples:
      | before     | fault            | expected | outcome     | count |
      | nothing    | none             | absent   | written     | 1     |
      | a document | none             | absent   | conflict    | 0     |
      | a document | none             | current  | written     | 1     |
      | a document | none             | old      | conflict    | 0     |
      | nothing    | one lost answer  | absent   | written     | 1     |
      | a document | one lost answer  | current  | written     | 1     |
      | nothing    | two lost answers | absent   | written     | 1     |
      | nothing    | server stopped   | absent   | unavailable | 0     |
      | nothing    | outage           | absent   | unknown     | 0     |
