Feature: Promises of a node under any interleaving of events
  The reducer alone, with drawn orders of arrivals, answers, losses, timers, drains, configurations and
  deaths.

  Scenario: No drawn interleaving breaks a promise
    # Guards at-most-once, true refusals, one answer per request, the bound on targets, the end of work
    # for leaving targets, the order of versions, and what targets say of themselves in their answers.
    Then 600 drawn interleavings with the weakening "none" break no promise

  Scenario Outline: The check finds each rule that is broken by hand
    # Shows that each promise is really checked.
    Then 200 drawn interleavings with the weakening "<weakening>" break a promise with "<words>"

    Examples:
      | weakening                   | words                       |
      | sendings are forgotten      | was refused as not run      |
      | writes are repeated         | the write                   |
      | attempts are not bounded    | ran on 3 targets            |
      | older versions are accepted | goes to ['                  |
      | leaving targets are kept    | which is leaving            |
      | timers are lost             | has 0 answers               |
      | leaving in answers is missed | which said that it leaves |
      | pauses are missed           | which turned the node away  |
      | rates are missed            | beyond the rate             |
      | cold targets are missed     | which is cold               |
