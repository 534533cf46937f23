Feature: A new connection shows whether the process of an upstream works or stands still

  # Guards against a process that stands still and is taken for one that learns when its
  # connections are closed (TWICE), and against one that works and keeps its streams.
  Scenario Outline: A process is checked
    Given an upstream whose process <does>
    When its process is checked
    Then its state is "<state>"

    Examples:
      | does                                   | state        |
      | answers                                | works        |
      | closes each connection                 | works        |
      | resets each connection                 | works        |
      | answers nothing, but reads all         | stands-still |
      | stands still                           | stands-still |
      | has ended                              | unreached    |
      | is behind a path that takes no packets | unreached    |

  # The event loop raises this for a connection whose file descriptor was closed before.
  Scenario: The event loop raises an error
    Given an upstream whose process answers
    When its process is checked by an event loop that raises RuntimeError
    Then its state is "unreached"

  # Guards against streams that are sent on or held back by what a failure says.
  Scenario Outline: Only a report with the status 200 tells of its process
    Given an upstream that answers the request of its report with the status <status>
    When its report is read
    Then the report has <bytes> bytes

    Examples:
      | status | bytes |
      | 200    | 10    |
      | 000    | 0     |
      | 206    | 0     |
      | 404    | 0     |
      | 500    | 0     |
      | 999    | 0     |
