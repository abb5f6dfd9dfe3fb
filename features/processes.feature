Feature: Separate processes over loopback

  Scenario: One of three instances is stopped by SIGTERM under load
    Given a platform, 2 backend servers and 3 entry instances as processes
    And the line patrol catalogue is applied by the command line
    When 40 cut-order jobs are submitted while instance 1 gets SIGTERM
    Then all 40 answers are complete
    And the stopped process ended with exit code 0
    And no task started twice on the servers

  Scenario: The command line tells what became of a job by its exit code
    Given a platform, 2 backend servers and 1 entry instances as processes
    And the line patrol catalogue is applied by the command line
    Then submitting a span-check job by the command line exits with 0
    And submitting a nothing job by the command line exits with 3
    And applying the cash desk catalogue based on version -1 exits with 5
    And submitting to a closed port exits with 6
