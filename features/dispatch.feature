Feature: Jobs go from a caller to backend servers and back

  Scenario: A caller gets the whole answer to its own request
    Given a small system with the cash desk catalogue
    When a caller submits a same-day-payout job of 20 tasks
    Then the answer is complete with 20 results
    And every task started exactly once

  Scenario: The same submission reaches two instances at once
    Given a small system with the cash desk catalogue
    When a caller submits a same-day-payout job of 5 tasks to two instances at once
    Then both answers are complete and equal
    And every task started exactly once

  Scenario: A planned stop cuts off no request in flight
    Given a small system with the cash desk catalogue
    When an instance is stopped gracefully while it runs a job of 8 tasks
    Then the answer is complete with 8 results
    And the stopped instance has left the platform's list
