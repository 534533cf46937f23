"""Makes TLS contexts for the listeners and for sessions between peers."""

import ssl
from collections.abc import Sequence
from dataclasses import dataclass

from jujubenotch.settings.errors import SettingsError
from jujubenotch.settings.model import MutualTlsSettings, TlsSettings

HTTP_PROTOCOLS = ("http/1.1",)
PEER_PROTOCOLS = ("h2",)


@dataclass(frozen=True, kw_only=True)
class PeerContexts:
    """The TLS contexts of both ends of a session between instances.

    :param server: The context of the peers' listener.
    :param client: The context of sessions that this instance opens to others.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext


def make_server_context(
    tls: TlsSettings, protocols: Sequence[str] = HTTP_PROTOCOLS
) -> ssl.SSLContext:
    """Make the TLS context of a listener.

    If the settings name certificate authorities, the listener refuses each client
    that does not present a certificate signed by one of them.

    :param tls: The TLS settings of the listener.
    :param protocols: The protocols that the listener offers through ALPN.
    :returns: The context.
    :raises SettingsError: A file can't be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if tls.ca:
        context.verify_mode = ssl.CERT_REQUIRED
    return _load_files(context, tls, protocols)


def make_peer_contexts(tls: MutualTlsSettings) -> PeerContexts:
    """Make the TLS contexts of both ends of a session between instances.

    Instances connect to their peers by IP address, so the certificate of a peer is
    verified against the authorities but not against a host name.

    :param tls: The TLS settings of the peers' listener.
    :returns: The contexts.
    :raises SettingsError: A file can't be loaded.
    """
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    return PeerContexts(
        server=make_server_context(tls, PEER_PROTOCOLS),
        client=_load_files(client, tls, PEER_PROTOCOLS),
    )


def _load_files(context, tls, protocols):
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(list(protocols))
    try:
        context.load_cert_chain(tls.certificate, tls.key, password=_refuse_password)
    except (ssl.SSLError, OSError, ValueError) as error:
        raise SettingsError(
            lines=[
                f"certificate = {tls.certificate!r}: no certificate with its unlocked "
                f"key: {_describe_error(error)}; name the PEM files of a "
                "certificate and of its private key"
            ]
        ) from error
    if tls.ca:
        _load_authorities(context, tls)
    return context


def _load_authorities(context, tls):
    try:
        context.load_verify_locations(tls.ca)
    except (ssl.SSLError, OSError) as error:
        raise SettingsError(
            lines=[
                f"ca = {tls.ca!r}: no certificates of authorities: "
                f"{_describe_error(error)}; name a PEM file of certificate authorities"
            ]
        ) from error


def _refuse_password():
    # Without a callback, OpenSSL would prompt for the password on the terminal.
    raise ValueError("the private key is encrypted with a password")


def _describe_error(error):
    if isinstance(error, ssl.SSLError) and error.reason:
        return error.reason.lower().replace("_", " ")
    return str(error)
