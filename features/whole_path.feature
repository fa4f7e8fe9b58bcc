Feature: The whole path works as the README shows it
  Guards against parts that pass their own tests but do not fit together.

  Scenario: The demonstration answers through an entry and a label change takes hold
    When the demonstration runs
    Then the demonstration exits with status 0
    And the demonstration prints "answered=True label_change_in_force=True"
    And the demonstration stops both entries with exit status 0
