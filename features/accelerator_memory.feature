Feature: Accelerator memory
  Memory is reserved before a load order is sent, and it is freed only when no order that has been
  sent can still use it.

  Scenario Outline: Reservations against the capacity
    Given an engine "e" with 100 bytes that checks fencing tokens
    And 60 bytes of "e" are reserved for "m1" with token 1
    When <size> bytes of "e" are reserved for "<item>" with token <token>
    Then the outcome is <outcome>
    And <reserved> bytes of "e" are reserved

    Examples:
      | item | size | token | outcome          | reserved |
      | m2   | 40   | 2     | accepted         | 100      |
      | m2   | 41   | 2     | memory_exhausted | 60       |
      | m1   | 60   | 2     | accepted         | 60       |
      | m1   | 100  | 2     | accepted         | 100      |
      | m1   | 101  | 2     | memory_exhausted | 60       |
      | m1   | 60   | 0     | fenced           | 60       |

  Scenario Outline: The end of a reservation
    Given an engine "e" with 100 bytes that <support> fencing tokens
    And 60 bytes of "e" are reserved for "m1" with token 5
    When the reservation of "m1" on "e" ends with token <token>
    Then <reserved> bytes of "e" are reserved
    When "e" returns as a new incarnation
    Then 0 bytes of "e" are reserved

    Examples:
      | support | token | reserved |
      | checks  | 6     | 0        |
      | checks  | 5     | 60       |
      | ignores | 6     | 60       |
