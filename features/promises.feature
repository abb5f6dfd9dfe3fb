Feature: What must always hold

  Scenario: A treasurer resubmits a payout at another instance while it runs
    Given 3 zones with 4 instances and 6 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 3 tasks of 400 ms to instance 1
    And at 1100 ms rent is submitted again to instance 2
    And the run goes on to 3000 ms
    Then every request for rent is answered complete
    And each task of rent started once
    And every promise holds

  Scenario: A payout is resubmitted after its answer
    Given 3 zones with 4 instances and 6 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 2 tasks of 50 ms to instance 1
    And at 5000 ms rent is submitted again to instance 3
    And the run goes on to 6000 ms
    Then every request for rent is answered complete
    And each task of rent started once
    And every promise holds

  Scenario: A payout is resubmitted after its home was replaced
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 2 tasks of 50 ms to instance 1
    And from 3000 ms to 3001 ms fault entry death strikes number 1
    And at 6000 ms rent is submitted again to instance 2
    And the run goes on to 8000 ms
    Then job rent is answered complete
    And each task of rent started once
    And every promise holds

  Scenario: The home of a payout dies while it runs, and the servers know its outcome
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 2 tasks of 800 ms to instance 1
    And from 1300 ms to 1301 ms fault entry death strikes number 1
    And at 2500 ms rent is submitted again to instance 2
    And the run goes on to 6000 ms
    Then job rent is answered complete
    And each task of rent started once
    And event JOB_TAKEN_OVER was logged by instance 2
    And every promise holds

  Scenario: The home and the server of a payout die together
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 8 tasks of 800 ms to instance 1
    And from 1300 ms to 1301 ms fault entry death strikes number 1
    And from 1400 ms to 2400 ms fault server death strikes number 1
    And from 1400 ms to 2400 ms fault server death strikes number 2
    And from 1400 ms to 2400 ms fault server death strikes number 3
    And from 1400 ms to 2400 ms fault server death strikes number 4
    And at 3500 ms rent is submitted again to instance 2
    And the run goes on to 9000 ms
    Then job rent is answered failed for outcome_unknown
    And each task of rent started at most once
    And every promise holds

  Scenario: A repeatable job of a dead home is taken over
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms a caller submits balance-check totals of 6 tasks of 300 ms to instance 1
    And from 1100 ms to 1101 ms fault entry death strikes number 1
    And at 2500 ms totals is submitted again to instance 3
    And the run goes on to 6000 ms
    Then job totals is answered complete
    And every promise holds

  Scenario: A job that is refused did not run
    Given 1 zones with 2 instances and 2 servers of 2 slots
    When at 1000 ms a caller submits balance-check slow of 1 tasks of 900 ms declared as 900 ms with timeout 500 ms
    And the run goes on to 3000 ms
    Then job slow is answered not_run for infeasible
    And each task of slow started never
    And every promise holds

  Scenario: A leaving server gets no new work
    Given 1 zones with 2 instances and 3 servers of 4 slots
    When from 1000 ms to 9000 ms fault server leave strikes number 1
    And at 2000 ms 12 balance-checks of 2 tasks of 100 ms arrive
    And at 6000 ms 12 balance-checks of 2 tasks of 100 ms arrive
    And the run goes on to 10000 ms
    Then at least 24 jobs are answered complete
    And every promise holds

  Scenario: The nightly upgrade replaces instances and servers under load
    Given 2 zones with 4 instances and 4 servers of 4 slots
    When at 1000 ms 40 balance-checks of 2 tasks of 200 ms arrive
    And from 1050 ms to 1051 ms fault entry drain strikes number 1
    And from 1100 ms to 1101 ms fault server leave strikes number 2
    And at 4000 ms 30 payouts of 1 tasks of 200 ms arrive
    And from 4010 ms to 4011 ms fault entry drain strikes number 2
    And from 4020 ms to 4021 ms fault server leave strikes number 1
    And the run goes on to 9000 ms
    Then at least 70 jobs are answered complete
    And every promise holds

  Scenario: Two operators change the same entry from the same version
    Given 2 zones with 3 instances and 2 servers of 2 slots
    When from 1000 ms to 1001 ms fault operator race strikes number 1
    And the run goes on to 4000 ms
    Then every instance has the same catalogue with limit 50 on balance checks
    And every promise holds

  Scenario: A wave of cancellations
    Given 1 zones with 2 instances and 2 servers of 4 slots
    When at 1000 ms a caller submits balance-check totals of 20 tasks of 500 ms to instance 1
    And at 1200 ms totals is cancelled at instance 2
    And the run goes on to 3000 ms
    Then job totals is answered failed for cancelled
    And job totals is answered before 1400 ms
    And every promise holds

  Scenario: A started payout is not stopped by a cancellation
    Given 1 zones with 2 instances and 2 servers of 4 slots
    When at 1000 ms a caller submits payout rent of 2 tasks of 500 ms to instance 1
    And at 1200 ms rent is cancelled at instance 1
    And at 3000 ms rent is submitted again to instance 1
    And the run goes on to 5000 ms
    Then job rent is answered complete
    And each task of rent started once
    And every promise holds

  Scenario: A limit holds across instances
    Given 2 zones with 4 instances and 6 servers of 8 slots
    When at 1000 ms 30 limited-checks of 4 tasks of 200 ms arrive
    And the run goes on to 6000 ms
    Then at most 6 tasks of limited-checks ran at once
    And at least 8 jobs are answered complete
    And every promise holds
