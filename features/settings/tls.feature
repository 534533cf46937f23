Feature: TLS by settings

  Background:
    Given an authority "ours" with a certificate for "a" and "b"

  Scenario: Two peers with certificates of one authority meet
    When peer "b" connects to peer "a"
    Then the handshake succeeds on "h2"

  Scenario Outline: A peer with a wrong certificate is refused
    Given <client>
    When it connects to peer "a"
    Then the handshake fails

    Examples:
      | client |
      | a client without a certificate |
      | a client "x" with a certificate of the authority "other" |
      | a client "x" with an expired certificate of the authority "ours" |

  Scenario: A peer refuses a listener that another authority signed for
    Given an authority "other" with a certificate for "c" and "d"
    When peer "b" connects to peer "c"
    Then the handshake fails

  Scenario: A caller needs no certificate, and checks the listener's
    Given a client without a certificate
    When it connects to a listener with the certificate of "a"
    Then the handshake succeeds on "http/1.1"

  Scenario: A listener with authorities demands a certificate
    Given a client without a certificate
    When it connects to a listener with the certificate of "a" and authorities
    Then the handshake fails

  Scenario Outline: Files that don't belong together are told before anything starts
    Given settings with callers' certificate "<certificate>" and key "<key>" and authorities "<ca>"
    When these settings are loaded
    Then their only error starts with "<error>"

    Examples:
      | certificate | key | ca | error |
      | a.pem | b.key | ours.pem | callers.tls.certificate = 'DIR/a.pem': no certificate with its unlocked key: key values mismatch |
      | a.key | a.key | ours.pem | callers.tls.certificate = 'DIR/a.key': no certificate with its unlocked key: |
      | a.pem | a.key | a.key | callers.tls.ca = 'DIR/a.key': no certificates of authorities: |
      | a.pem | locked.key | ours.pem | callers.tls.certificate = 'DIR/a.pem': no certificate with its unlocked key: |
