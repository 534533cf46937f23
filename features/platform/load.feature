Feature: The loads that upstreams report are read

  # Guards against reports that are dropped because they have more figures than the
  # numbers of requests and slots.
  Scenario Outline: A report is read whatever follows the first three figures
    When an upstream reports the load "<report>"
    Then <running> requests run, <waiting> wait and there are <slots> slots, at pace <pace>

    Examples:
      | report         | running | waiting | slots | pace |
      | 3,1,8          | 3       | 1       | 8     | none |
      | 3,1,8,250      | 3       | 1       | 8     | 2.5  |
      | 3, 1, 8, 100   | 3       | 1       | 8     | 1.0  |
      | 3,1,8,87.5     | 3       | 1       | 8     | 0.875 |
      | 3,1,8,250,7    | 3       | 1       | 8     | 2.5  |
      | 3,1,8,         | 3       | 1       | 8     | none |
      | 3,1,8,fast     | 3       | 1       | 8     | none |
      | 3,1,8,0        | 3       | 1       | 8     | none |
      | 3,1,8,-5       | 3       | 1       | 8     | none |
      | 3,1,8,nan      | 3       | 1       | 8     | none |
      | 3,1,8,1e300    | 3       | 1       | 8     | none |

  # Guards against a malformed report that ends the request it came with.
  Scenario Outline: A report that isn't one tells nothing
    When an upstream reports the load "<report>"
    Then the report tells nothing

    Examples:
      | report              |
      | 3,1                 |
      | 3,-1,8              |
      | three,1,8           |
      | 3,1,8.5             |
      | ²,1,8               |
      | ,,                  |
      | 3,1,99999999999999999999 |
