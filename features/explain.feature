Feature: An operator asks where a job would be placed

  Scenario: The owner is found among the instances that are given
    Given a platform with 2 task servers and 2 dispatching instances as processes
    When a job of 3 tasks is explained, asking both instances
    Then the command exits with 0
    And the report is that of the owner, with 3 tasks on 2 servers
    And no task has started

  Scenario: A job that no server can run would be refused
    Given a platform with 2 task servers and 2 dispatching instances as processes
    When a job of 1 tasks of 900 cores is explained, asking both instances
    Then the command exits with 3
    And the reason is infeasible, with a time to retry

  Scenario: Only an instance that does not own the servers can be asked
    Given a platform with 2 task servers and 2 dispatching instances as processes
    When a job of 3 tasks is explained, asking the instance that is not the owner
    Then the command exits with 1
    And the output names the owner and the view that it is based on
