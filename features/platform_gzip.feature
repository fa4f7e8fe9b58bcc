Feature: Answers of the platform travel compressed where it offers that
  The list of VMs has about 660 KB at the planned scale, more than an agent may use in 30 s.

  Scenario Outline: A client reads the list of VMs of a platform that <offers>
    # Guards against a client that depends on compression, and against one that does not ask for it.
    Given a stand-in platform with 600 VMs on its list and gzip <setting>
    When the platform client reads the list of VMs
    Then it gets all 600 VMs in <low> to <high> percent of their bytes

    Examples:
      | offers                   | setting | low | high |
      | compresses               | true    | 1   | 15   |
      | ignores accept-encoding  | false   | 100 | 100  |

  Scenario Outline: An answer with <content> is a failed call, and the next call succeeds
    # Guards against a body that is cut off or altered unseen, and against a small answer that
    # fills the memory of a VM.
    Given a platform that answers with <content>
    When the platform client reads twice, the second answer being intact
    Then the first call failed because of "<reason>" and the second call succeeded

    Examples:
      | content                       | reason                     |
      | gzip cut off in the middle    | gzip content is incomplete |
      | gzip with a wrong checksum    | malformed gzip             |
      | bytes that are not gzip       | malformed gzip             |
      | bytes after the end of gzip   | malformed gzip             |
      | 100 MB in 100 KB of gzip      | too large                  |
      | 100 MB in two members of gzip | too large                  |
      | an encoding never asked for   | unknown content encoding   |
