Feature: An agent takes nothing for an answer that it has not asked for
  Peers keep messages for an agent that is away, and deliver them as soon as its socket is bound.

  Scenario Outline: A message that answers no question verifies nothing
    # Guards the readiness of a new agent: a digest without a nonce counted as the reply to the first
    # verification, whose nonce was 0 until the agent had started.
    Given an agent that <state>, without peers and platform
    When a ready peer sends <message> that nobody asked for
    Then the agent is not ready and nobody has verified its view

    Examples:
      | state           | message         |
      | has not started | a digest        |
      | has not started | a revision list |
      | has started     | a digest        |
      | has started     | a revision list |

  Scenario: Messages that wait for an agent are handled after its start
    Given an agent with bound sockets, for which a digest waits
    When it waits 300 ms before its start, as for its admin page
    Then it handles the digest after its start and not before
