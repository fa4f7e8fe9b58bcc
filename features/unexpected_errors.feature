Feature: One unexpected error stops nothing else
  Operators of similar systems lost whole processes to one message or one error.

  Scenario: A timer that fails leaves the other callers their deadlines
    # Guards against requests without an end: the timers of all callers are handled together.
    Given an entry's shell with a timer that fails and a request whose deadline passes with it
    When the timer fires
    Then the request is refused and the failure is logged

  Scenario: A firing that fails as a whole is made up for
    # Guards against a process without timers: the reducer believes that the next one is set.
    Given an entry's shell whose reducer fails once when a timer fires
    When the timer fires
    Then the shell sets a timer again, and the request is refused when that fires

  Scenario: An event that waited and fails is logged, and the event that was fed does not fail by it
    # Guards against leaks at whoever feeds an event: it would not finish its own work.
    Given an entry's shell with an event whose effect raises a second one that fails
    Then when the event is fed nothing is raised and the failure of the second one is logged

  Scenario: A log line that cannot be written does not stop an entry from processing events
    # Guards against an entry that answers nobody: the mark of the event in progress stayed.
    Given an entry's shell with an event whose effect raises a second one that fails
    When the event is fed and its log line cannot be written
    Then the next event is processed

  Scenario: An effect that fails does not keep the others back
    Given an entry's shell with an event of which the first of two effects fails
    When the event is fed
    Then the second effect is executed and the failure is logged
