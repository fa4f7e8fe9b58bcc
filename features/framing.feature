Feature: Where a message ends
  The real connection code, without a network, against a model that reads the whole input at once.

  Scenario: A read behind a booking in chunks is served
    # Guards request smuggling: bytes of the next request were read as chunk sizes of this body.
    Then a read with a header of 300 bytes behind a booking in chunks is read
    And a read behind a booking in chunks is read though its body begins with a large size

  Scenario: Requests end where the model says, however their bytes arrive
    Then 3000 drawn sequences of requests are read as the model reads them

  Scenario: Responses end where the model says, however their bytes arrive
    Then 3000 drawn sequences of responses are read as the model reads them
