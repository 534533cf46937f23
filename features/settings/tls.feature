Feature: TLS settings

  Background:
    Given an authority "ours" that has signed certificates for "a" and "b"

  Scenario: Two peers with certificates of the same authority connect
    When peer "b" connects to peer "a"
    Then the handshake succeeds on "h2"

  Scenario Outline: A client with an invalid certificate is refused
    Given <client>
    When the client connects to peer "a"
    Then the handshake fails

    Examples:
      | client |
      | a client without a certificate |
      | a client "x" with a certificate of the authority "other" |
      | a client "x" with an expired certificate of the authority "ours" |

  Scenario: A peer refuses a listener whose certificate is from another authority
    Given an authority "other" that has signed certificates for "c" and "d"
    When peer "b" connects to peer "c"
    Then the handshake fails

  Scenario: A caller needs no certificate, and verifies the listener's certificate
    Given a client without a certificate
    When the client connects to a listener with the certificate of "a"
    Then the handshake succeeds on "http/1.1"

  Scenario: A listener with authorities requires a client certificate
    Given a client without a certificate
    When the client connects to a listener with the certificate of "a" and authorities
    Then the handshake fails

  Scenario Outline: Unusable TLS files are reported when the settings are loaded
    Given settings with the callers' certificate "<certificate>" and key "<key>" and authorities "<ca>"
    When the TLS settings are loaded
    Then the only error starts with "<error>"

    Examples:
      | certificate | key | ca | error |
      | a.pem | b.key | ours.pem | callers.tls.certificate = 'DIR/a.pem': no certificate with its unlocked key: key values mismatch |
      | a.key | a.key | ours.pem | callers.tls.certificate = 'DIR/a.key': no certificate with its unlocked key: |
      | a.pem | a.key | a.key | callers.tls.ca = 'DIR/a.key': no certificates of authorities: |
      | a.pem | locked.key | ours.pem | callers.tls.certificate = 'DIR/a.pem': no certificate with its unlocked key: |
