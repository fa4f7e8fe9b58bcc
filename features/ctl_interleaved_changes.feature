Feature: Interleaved operators, readers and another tool in virtual time
  Writers that end halfway, writes executed late, bad objects and outages in combination reach
  orders of events that a run of real processes meets too rarely.

  Scenario: 200 seeds of 4 operators, 3 readers, another tool and outages
    When seeds 0 to 199 of interleaved changes run
    Then in no seed an accepted change was lost, applied twice or given the revision of another
    And in every seed all readers ended with the stored object
    And at least 4000 changes were accepted and at least 400 objects were written over

  Scenario: Without another tool, stale reads and lost answers lead to no recovery
    # Guards against a recovery of an object that is intact, which skips revisions.
    When seeds 1000 to 1199 of interleaved changes run without another tool
    Then in no seed an accepted change was lost, applied twice or given the revision of another
    And in no seed a revision was skipped
    And in every seed all readers ended with the stored object

  Scenario: Edits of every kind by 9 operators that are paused for seconds, with another tool
    # Guards against proofs and reads that a writer made before it slept.
    When seeds 3000 to 3039 of interleaved edits of every kind by paused writers run
    Then in no seed an accepted change was lost, applied twice or given the revision of another
    And in every seed all readers ended with the stored object

  Scenario: Edits of every kind by 9 paused operators lead to no recovery without another tool
    When seeds 4000 to 4039 of interleaved edits of every kind by paused writers run without another tool
    Then in no seed an accepted change was lost, applied twice or given the revision of another
    And in no seed a revision was skipped
    And in every seed all readers ended with the stored object
