Feature: What fails

  Scenario: A worker dies with repeatable work
    Given 1 zones with 2 instances and 3 servers of 4 slots
    When at 1000 ms a caller submits balance-check totals of 8 tasks of 400 ms to instance 1
    And from 1200 ms to 4000 ms fault server death strikes number 1
    And the run goes on to 9000 ms
    Then job totals is answered complete
    And every promise holds

  Scenario: A worker dies with a payout
    Given 1 zones with 2 instances and 1 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 1 tasks of 800 ms to instance 1
    And from 1200 ms to 2000 ms fault server death strikes number 1
    And the run goes on to 9000 ms
    Then job rent is answered failed for outcome_unknown
    And job rent is answered before 5000 ms
    And each task of rent started once
    And every promise holds

  Scenario: A straggler holds up a job
    Given 1 zones with 1 instances and 4 servers of 4 slots
    When at 1000 ms 10 balance-checks of 2 tasks of 100 ms arrive
    And from 2500 ms to 9000 ms fault server slow strikes number 1
    And at 3000 ms 12 balance-checks of 1 tasks of 400 ms arrive
    And the run goes on to 5300 ms
    Then at least 22 jobs are answered complete
    And every promise holds

  Scenario: Load arrives in a burst
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms 400 balance-checks of 1 tasks of 300 ms arrive
    And the run goes on to 20000 ms
    Then no accepted job was late
    And at least 60 jobs are answered complete
    And at least 50 jobs are answered not_run
    And every promise holds

  Scenario: A server fails everything it starts
    Given 1 zones with 2 instances and 4 servers of 4 slots
    When from 500 ms to 9000 ms fault server fails strikes number 1
    And at 1000 ms 40 balance-checks of 2 tasks of 100 ms arrive
    And the run goes on to 9000 ms
    Then at least 38 jobs are answered complete
    And event SERVER_EJECTED was logged by instance 1
    And every promise holds

  Scenario: The log is down: repeatable work goes on, payouts are refused
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When from 1000 ms to 6000 ms fault log outage strikes number 1
    And at 3500 ms a caller submits balance-check totals of 4 tasks of 100 ms to instance 1
    And at 3500 ms a caller submits payout rent of 1 tasks of 100 ms to instance 2
    And the run goes on to 4500 ms
    Then job totals is answered complete
    And job rent is answered not_run for log_unreachable
    And each task of rent started never
    And event LOG_OUT_OF_REACH was logged by instance 1
    And every promise holds

  Scenario: A job that ran during the outage is known after it
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When from 1000 ms to 6000 ms fault log outage strikes number 1
    And at 3500 ms a caller submits balance-check totals of 4 tasks of 100 ms to instance 1
    And at 9500 ms totals is submitted again to instance 2
    And the run goes on to 11000 ms
    Then every request for totals is answered complete
    And each task of totals started once
    And every promise holds

  Scenario: Replies of the log are lost after it took effect
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When from 500 ms to 8000 ms fault log replies lost strikes number 1
    And at 1000 ms 20 payouts of 2 tasks of 50 ms arrive
    And the run goes on to 12000 ms
    Then at least 20 jobs are answered complete
    And every promise holds

  Scenario: An instance is paused longer than anybody waits
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 2 tasks of 300 ms to instance 1
    And from 1100 ms to 6000 ms fault entry pause strikes number 1
    And at 2000 ms rent is submitted again to instance 2
    And the run goes on to 9000 ms
    Then each task of rent started once
    And every promise holds

  Scenario: Open connections go silent while new ones work
    Given 1 zones with 2 instances and 2 servers of 4 slots
    When from 900 ms to 4000 ms fault server silent strikes number 1
    And from 900 ms to 4000 ms fault server silent strikes number 2
    And at 1000 ms a caller submits payout rent of 2 tasks of 300 ms to instance 1
    And the run goes on to 6000 ms
    Then job rent is answered complete
    And each task of rent started once
    And every promise holds

  Scenario: A zone is cut off and goes on with its own servers
    Given 3 zones with 3 instances and 6 servers of 4 slots
    When from 1000 ms to 8000 ms fault zone cut strikes number 1
    And from 1000 ms to 8000 ms fault platform cut strikes number 1
    And at 4000 ms a caller submits balance-check totals of 6 tasks of 100 ms to instance 1
    And at 4000 ms a caller submits payout rent of 2 tasks of 100 ms to instance 2
    And the run goes on to 7000 ms
    Then job totals is answered complete
    And job rent is answered complete
    And every promise holds

  Scenario: A home is cut off from the instance that a caller resubmits to
    Given 2 zones with 2 instances and 4 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 2 tasks of 3000 ms to instance 1
    And from 1500 ms to 9000 ms fault zone cut strikes number 1
    And at 2000 ms rent is submitted again to instance 2
    And the run goes on to 7000 ms
    Then job rent is answered failed for home_unreachable
    And job rent is answered before 5000 ms
    And each task of rent started once
    And every promise holds

  Scenario: The list lags while servers are replaced
    Given 1 zones with 2 instances and 3 servers of 4 slots
    When from 500 ms to 9000 ms fault list lag strikes number 1
    And from 1000 ms to 2500 ms fault server death strikes number 1
    And at 1500 ms 30 balance-checks of 1 tasks of 100 ms arrive
    And the run goes on to 8000 ms
    Then at least 30 jobs are answered complete
    And every promise holds

  Scenario: Declared run times are far off
    Given 1 zones with 2 instances and 2 servers of 4 slots
    When at 1000 ms a caller submits balance-check totals of 4 tasks of 2000 ms declared as 10 ms with timeout 9000 ms
    And the run goes on to 9000 ms
    Then job totals is answered complete
    And every promise holds

  Scenario: The store is slow and connections break at the same time
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When from 500 ms to 6000 ms fault log slow strikes number 1
    And from 500 ms to 6000 ms fault connection loss strikes number 1
    And at 1000 ms 20 payouts of 2 tasks of 100 ms arrive
    And the run goes on to 15000 ms
    Then at least 20 jobs are answered complete
    And every promise holds

  Scenario: An instance dies with jobs that others had passed to it in an outage
    Given 1 zones with 3 instances and 3 servers of 4 slots
    When from 1000 ms to 5250 ms fault log outage strikes number 1
    And at 4900 ms 9 balance-checks of 1 tasks of 600 ms arrive
    And from 5200 ms to 5201 ms fault entry death strikes number 2
    And from 5210 ms to 9000 ms fault log slow strikes number 1
    And the run goes on to 18000 ms
    Then every promise holds
    And a job passed to a dead instance is answered failed for home_unreachable

  Scenario: An instance starts while the log is away and takes the catalogue from a peer
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When from 1000 ms to 9000 ms fault log outage strikes number 1
    And from 1500 ms to 1501 ms fault entry death strikes number 2
    And at 6000 ms a caller submits balance-check totals of 2 tasks of 100 ms to instance 2
    And at 6000 ms a caller submits payout rent of 2 tasks of 100 ms to instance 2
    And the run goes on to 8000 ms
    Then job totals is answered complete
    And job rent is answered not_run for log_unreachable
    And each task of rent started never
    And every promise holds

  Scenario: The store is cut off twice in a row
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When from 1000 ms to 4000 ms fault log outage strikes number 1
    And from 4500 ms to 8000 ms fault platform cut strikes number 1
    And at 2500 ms 10 balance-checks of 1 tasks of 100 ms arrive
    And at 6500 ms 10 balance-checks of 1 tasks of 100 ms arrive
    And the run goes on to 12000 ms
    Then at least 20 jobs are answered complete
    And every promise holds
