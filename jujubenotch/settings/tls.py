"""TLS contexts of the listeners and of sessions to peers."""

import ssl
from collections.abc import Sequence
from dataclasses import dataclass

from jujubenotch.settings.errors import SettingsError
from jujubenotch.settings.model import MutualTlsSettings, TlsSettings

HTTP_PROTOCOLS = ("http/1.1",)
PEER_PROTOCOLS = ("h2",)


@dataclass(frozen=True, kw_only=True)
class PeerContexts:
    """The two ends of a session between instances.

    :param server: For the peers' listener.
    :param client: For sessions to other instances.
    """

    server: ssl.SSLContext
    client: ssl.SSLContext


def make_server_context(
    tls: TlsSettings, protocols: Sequence[str] = HTTP_PROTOCOLS
) -> ssl.SSLContext:
    """Make the context of a listener.

    With authorities in the settings, a client without a certificate that one
    of them signed is refused.

    :param tls: The files.
    :param protocols: What the listener speaks, for ALPN.
    :returns: The context.
    :raises SettingsError: A file holds something else.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if tls.ca:
        context.verify_mode = ssl.CERT_REQUIRED
    return _load_files(context, tls, protocols)


def make_peer_contexts(tls: MutualTlsSettings) -> PeerContexts:
    """Make both contexts of sessions between instances.

    Peers are reached by IP number, so a certificate is checked for who signed
    it, not for a host name.

    :param tls: The files.
    :returns: The contexts.
    :raises SettingsError: A file holds something else.
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
                f"key: {_describe(error)}; name PEM files that belong together"
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
                f"{_describe(error)}; name a PEM file"
            ]
        ) from error


def _refuse_password():
    # Without this, OpenSSL would ask for one on the terminal.
    raise ValueError("the key is locked by a password")


def _describe(error):
    if isinstance(error, ssl.SSLError) and error.reason:
        return error.reason.lower().replace("_", " ")
    return str(error)
