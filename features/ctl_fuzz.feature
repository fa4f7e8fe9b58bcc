Feature: Mutated objects and messages are refused as values
  A bad object from another tool, or a message cut on the wire, must never end a process or be
  taken for a valid one.

  Scenario: 1500 mutated service objects are either valid or refused with faults
    Then of 1500 mutated service objects each is refused with named faults or safe to apply

  Scenario: 1500 objects changed byte by byte never raise
    Then of 1500 service objects with changed bytes each is refused with named faults or safe to apply

  Scenario: 3000 mutated messages are decoded or refused
    Then of 3000 mutated messages between our processes each is decoded to its type or refused

  Scenario: Deep nesting, long numbers and repeated keys are refused
    Then each hostile document is refused with a fault within 2 s
