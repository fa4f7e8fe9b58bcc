Feature: Properties of selectors, acceptance and merging of edits
  Operators' selectors decide who reaches which target; a selector that matches more than it says
  lets callers through, and a merge that loses an edit undoes an operator's work.

  Scenario Outline: A property holds for generated cases
    Then the property "<property>" of the configuration model holds for <cases> cases

    Examples:
      | property                                                       | cases |
      | a parsed selector matches as a naive evaluation does           | 500   |
      | a selector parses the same with other spacing                  | 300   |
      | any text parses or is refused at a position within it          | 1000  |
      | access by labels equals the union over the selectors           | 300   |
      | edits of different labels give the same object in any order    | 200   |
      | of two edits of one label the second is a conflict             | 200   |
      | accepting revisions in any order and number ends at the newest | 300   |
      | the next revision exceeds every revision that was accepted     | 500   |
      | an encoded valid service passes validation unchanged           | 200   |
