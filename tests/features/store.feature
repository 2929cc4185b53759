Feature: A conditional write has a known outcome even if its answer is lost

  Scenario Outline: Write a document under a fault
    Given a store with <before>
    And the fault <fault>
    When a document is written expecting <expecting>
    Then the outcome is <outcome>
    And the store holds the document <holds> times

    Examples:
      | before     | fault           | expecting | outcome     | holds |
      | nothing    | none            | absent    | written     | 1     |
      | a document | none            | absent    | conflict    | 0     |
      | a document | none            | current   | written     | 1     |
      | a document | none            | old       | conflict    | 0     |
      | nothing    | one lost answer | absent    | written     | 1     |
      | a document | one lost answer | current   | written     | 1     |
      | nothing    | two lost answers| absent    | written     | 1     |
      | nothing    | refused         | absent    | unavailable | 0     |
      | nothing    | outage          | absent    | unsure      | 0     |
