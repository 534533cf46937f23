Feature: Logs

  Scenario Outline: Each event is logged as one line of key=value pairs
    Given logs in the format "key-value"
    When the event "routed" is logged with <field> = <value>
    Then one line was written that ends with "<end>"

    Examples:
      | field | value | end |
      | upstream | engine-1 | event=routed upstream=engine-1 |
      | detail | a b | event=routed detail="a b" |
      | detail | a=b | event=routed detail="a=b" |
      | detail | say "no" | event=routed detail="say \"no\"" |
      | detail | one\ntwo | event=routed detail="one\ntwo" |

  Scenario: Each event is logged as one line of JSON
    Given logs in the format "json"
    When the event "routed" is logged with detail = one\ntwo
    Then one line of JSON was written with the event "routed" and the logged detail

  Scenario: An event below the level is not written
    Given logs at level "WARNING" in the format "key-value"
    When the event "routed" is logged with upstream = engine-1
    Then nothing was written

  Scenario Outline: An exception is logged on the same line as its event
    Given logs in the format "<format>"
    When an exception is logged
    Then one line was written that contains "ZeroDivisionError"

    Examples:
      | format |
      | key-value |
      | json |
