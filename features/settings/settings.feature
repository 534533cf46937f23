Feature: Validation of the settings

  Scenario: Settings with only the required keys are valid
    Given the settings
      """
      [instance]
      name = "first"
      data_centre = "north"
      """
    When the settings are loaded
    Then the settings are valid
    And the setting "callers.port" is 8080
    And the setting "platform.kind" is "embedded"

  Scenario Outline: Each error is reported in one line with a remedy
    Given the settings
      """
      [instance]
      name = "first"
      data_centre = "north"
      <text>
      """
    When the settings are loaded
    Then the only error is "<error>"

    Examples:
      | text | error |
      | [callers]\nport = 70000 | callers.port = 70000: input should be less than or equal to 65535; give a TCP port, 0 to 65535; 0 takes a free one |
      | [callers]\nport = "80" | callers.port = '80': input should be a valid integer; give a TCP port, 0 to 65535; 0 takes a free one |
      | [callers]\nidle_timeout_ms = 5 | callers.idle_timeout_ms = 5: unknown key; did you mean 'idle_timeout_s'? |
      | [upstreams]\nidle_timeout_s = "5 s" | upstreams.idle_timeout_s = '5 s': input should be a valid number; give seconds between two chunks of a stream, above 0 |
      | [shutdown]\nmax_wait_s = nan | shutdown.max_wait_s = nan: input should be a finite number; give seconds to wait for requests in progress, 0 to 86400; 0 waits until the last one ends |
      | [callers]\nport = 9\n[peers]\nport = 9 | peers.port = 9: the same as callers.port on the same address; give each listener its own port, or 0 |
      | [callers]\nport = 9\nhost = "::"\n[peers]\nport = 9 | peers.port = 9: the same as callers.port on the same address; give each listener its own port, or 0 |
      | [platform]\nkind = "http" | platform = (table): kind http needs a url; set url to http:// or https:// and the host |
      | [platform]\nrecords = ["/no/such"] | platform.records.0 = '/no/such': no such file; name a readable file |
      | [peers.tls]\ncertificate = "c"\nkey = "k" | peers.tls.ca is missing; add it: a PEM file of the authorities that sign the peers' certificates |
      | [peers]\nseeds = ["a@b@h:0"] | peers.seeds.0 = 'a@b@h:0': port 0 of 'a@b@h:0' is not within 1 to 65535; give a list of peers to try first, "name@data_centre@host:port" |
      | [logs]\nlevel = "loud" | logs.level = 'loud': input should be 'DEBUG', 'INFO', 'WARNING', 'ERROR' or 'CRITICAL'; give "DEBUG", "INFO", "WARNING", "ERROR" or "CRITICAL" |
      | [callers\nport = 9 | not TOML: Expected ']' at the end of a table declaration (at line 4, column 9); mend the syntax there |

  Scenario: All errors are reported together
    Given the settings
      """
      [instance]
      name = "a@b"
      [callers]
      port = -1
      [typo]
      """
    When the settings are loaded
    Then 4 errors are reported, one line each

  Scenario: A missing file is reported
    When a file that does not exist is loaded
    Then the only error is "can't be read: No such file or directory; name a readable TOML file"

  Scenario: Keys and passwords are not shown in errors
    Given the settings
      """
      [instance]
      name = "first"
      data_centre = "north"
      [operators]
      key_sha256 = ["my-secret-key"]
      key = "my-secret-key"
      [other]
      password = "my-secret-key"
      """
    When the settings are loaded
    Then 3 errors are reported, one line each
    And no error shows "my-secret-key"

  Scenario: Two listeners may both use a free port
    Given the settings
      """
      [instance]
      name = "first"
      data_centre = "north"
      [callers]
      port = 0
      [operators]
      port = 0
      """
    When the settings are loaded
    Then the settings are valid

  Scenario: A seed gives the name, data centre and address of a peer
    When the seed "b@south@[::1]:7000" is parsed
    Then the seed is instance "b" in data centre "south" at "::1" port 7000

  Scenario: docs/SETTINGS.md lists each key with its default
    When docs/SETTINGS.md is read
    Then the page lists each key of the settings with its default and no other key
