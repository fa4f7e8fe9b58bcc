Feature: Experiments load and slopes are fitted from enough points
  Guards against an experiment file or a measurement that nobody ran after a change.

  Scenario: Every experiment file is accepted by the tool
    When the bench loads every file of experiments/
    Then no file is refused and at least 10 were loaded

  Scenario: A misspelt key of an experiment is refused with a line that names it
    Given an experiment file with the unknown key "agent"
    When poplarlane-bench runs that file
    Then the bench exits with status 2 and names "agent"

  Scenario: A slope needs four points and reports its residual
    Then a slope of 3 points is refused
    And the slope of points on the line 2 + 3 x has gradient 3, intercept 2 and residual 0

  Scenario: A capacity measurement writes points, fit and plot
    When poplarlane-bench measures "entry-by-targets"
    Then it prints a line with 4 points, a gradient and a residual
    And it has written the points as JSON and a plot

  Scenario: A repeated action comes to every target or entry once, within its phase
    # Guards against targets that a run of planned stops or leaving targets passes over.
    Then in "leaving" each of 36 targets leaves once in each phase, 500 ms apart
    And in "planned-stops-vltava" each of 36 targets and 24 entries stops once
    And an action after the end of its phase is refused
