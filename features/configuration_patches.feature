Feature: Configuration patches
  Operators change one versioned configuration. A patch names the version that it was written
  against and has a request id, so that no change is lost or applied twice.

  Background:
    Given an engine "sorting-1" with 100 bytes that checks fencing tokens
    And a caller "shop" in version 1

  Scenario Outline: Concurrent patches
    When "ada" patches version <base> as "r2" setting the weight of "shop" to <weight>
    Then the outcome is <outcome>
    And the current version is <version>

    Examples:
      | base | weight | outcome               | version |
      | 1    | 2      | accepted              | 2       |
      | 0    | 2      | version_conflict      | 1       |
      | 2    | 2      | version_conflict      | 1       |
      | 1    | 0      | configuration_invalid | 1       |

  Scenario Outline: Resent patches get their first outcome
    When "ada" patches version <base> as "r2" setting the weight of "shop" to <weight>
    And "bob" patches version 1 as "r3" setting the weight of "shop" to 5
    And the state machine restarts from a snapshot
    And "ada" patches version <base> as "r2" setting the weight of "shop" to <weight>
    Then the outcome is the first outcome of "r2"
    And the current version is 2

    Examples: accepted, refused by a check, refused as a conflict
      | base | weight |
      | 1    | 2      |
      | 1    | -1     |
      | 0    | 2      |

  Scenario: A refusal lists all reasons with their fields
    When "ada" sends this patch against version 1 as "r2":
      """
      {"models": {"m1": {"size_bytes": 101, "instances": ["sorting-*"]},
                  "m2": {"size_bytes": 1, "instances": ["sales-*"]}},
       "limits": {"l1": {"caller": "nobody", "requests_per_second": 1}}}
      """
    Then the outcome is configuration_invalid
    And the reasons are:
      | reason                                                                   |
      | limits.l1.caller: unknown caller nobody                                  |
      | models.m1.size_bytes: 101 exceeds the largest matching engine (100)      |
      | models.m2.instances: match no registered engine                          |
    And the audit trail ends with a refused patch of "ada" from version 1
