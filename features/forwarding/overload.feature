Feature: A burst of long prompts beyond what the engines can read (overload control)

  Engines admit a long prompt at once and read it beside the others, so a queue of
  reading grows although slots are free. Callers whose first token comes late make
  those behind them late as well, and those who give up have had their prompt read in
  vain.

  Scenario: Without a limit nearly all first tokens of the burst are late
    Given 7 instances before 9 engines that read 60 tokens a ms
    And the limit on waiting long prompts is disabled
    When long prompts arrive at 2 times what the engines can read for 8 s
    Then at most 30 of 100 served prompts are in time

  Scenario: In a burst the engines' reading goes to prompts that are answered in time
    Given 7 instances before 9 engines that read 60 tokens a ms
    When long prompts arrive at 2 times what the engines can read for 8 s
    Then at least 60 of 100 served prompts are in time
    And at least 80 of 100 of what the engines can read is served

  Scenario: Nothing is refused while the engines keep up
    Given 7 instances before 9 engines that read 60 tokens a ms
    When long prompts arrive at 0.7 times what the engines can read for 8 s
    Then no prompt is refused

  Scenario: After a burst all prompts are admitted again
    Given 7 instances before 9 engines that read 60 tokens a ms
    When long prompts arrive at 2 times what the engines can read for 6 s
    And long prompts arrive at 0.7 times what the engines can read for 6 s
    Then at most 5 of 100 prompts are refused

  Scenario: Many instances that each see few requests share the engines' reading
    Given 60 instances before 45 engines that read 60 tokens a ms
    When long prompts arrive at 2 times what the engines can read for 3 s
    And long prompts arrive at 2 times what the engines can read for 8 s
    Then at least 60 of 100 served prompts are in time
    And at least 80 of 100 of what the engines can read is served

  Scenario: Fast engines with few slots are used to the full
    Given 7 instances before 9 engines that read 140 tokens a ms
    When long prompts arrive at 2 times what the engines can read for 8 s
    Then at least 60 of 100 served prompts are in time
    And at least 80 of 100 of what the engines can read is served

  # Guards against urgent requests that are refused for their length while less urgent ones
  # of twice their size begin.
  Scenario: Urgent prompts are not refused for their length while less urgent ones begin
    Given 7 instances before 9 engines that read 60 tokens a ms
    When long prompts arrive at 2 times what the engines can read for 8 s, a fifth of them urgent
    Then at most 1 in 12 of the urgent prompts is refused
