import ssl
import tempfile
from pathlib import Path

from behave import given, then, when
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from features.certificates import make_authority, make_certificate
from jujubenotch.settings import (
    MutualTlsSettings,
    SettingsError,
    TlsSettings,
    load_settings,
    make_peer_contexts,
    make_server_context,
)

MAX_FLIGHTS = 10


@given(
    'an authority "{name}" that has signed certificates for "{first_peer}" and "{second_peer}"'
)
def make_authority_with_peers(context, name, first_peer, second_peer):
    if not hasattr(context, "directory"):
        directory = tempfile.TemporaryDirectory()
        context.add_cleanup(directory.cleanup)
        context.directory = Path(directory.name)
        context.files, context.authorities = {}, {}
    authority = make_authority(context.directory, name)
    context.authorities[name] = authority
    for peer in (first_peer, second_peer):
        files = make_certificate(context.directory, authority, peer)
        context.files[peer] = make_tls_settings(files, authority)


def make_tls_settings(files, authority):
    return MutualTlsSettings(
        certificate=str(files.certificate),
        key=str(files.key),
        ca=str(authority.path),
    )


@given("a client without a certificate")
def make_client_without_certificate(context):
    context.client = ssl.create_default_context(cafile=context.authorities["ours"].path)
    context.client.set_alpn_protocols(["http/1.1", "h2"])
    context.client.check_hostname = False


@given('a client "{client}" with a certificate of the authority "{name}"')
def make_client_of_authority(context, client, name):
    authority = make_authority(context.directory, name)
    make_client_with_certificate(
        context, make_certificate(context.directory, authority, client)
    )


@given('a client "{client}" with an expired certificate of the authority "{name}"')
def make_expired_client(context, client, name):
    authority = context.authorities[name]
    files = make_certificate(context.directory, authority, client, is_expired=True)
    make_client_with_certificate(context, files)


def make_client_with_certificate(context, files):
    make_client_without_certificate(context)
    context.client.load_cert_chain(files.certificate, files.key)


@when('peer "{client}" connects to peer "{server}"')
def connect_peers(context, client, server):
    context.client = make_peer_contexts(context.files[client]).client
    connect_to_peer(context, server)


@when('the client connects to peer "{server}"')
def connect_to_peer(context, server):
    run_handshake(context, make_peer_contexts(context.files[server]).server)


@when('the client connects to a listener with the certificate of "{name}"')
def connect_to_listener(context, name):
    tls = context.files[name]
    run_handshake(
        context,
        make_server_context(TlsSettings(certificate=tls.certificate, key=tls.key)),
    )


@when(
    'the client connects to a listener with the certificate of "{name}" and authorities'
)
def connect_to_listener_with_authorities(context, name):
    run_handshake(context, make_server_context(context.files[name]))


def run_handshake(context, server_context):
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    ends = [
        context.client.wrap_bio(to_client, to_server, server_hostname="127.0.0.1"),
        server_context.wrap_bio(to_server, to_client, server_side=True),
    ]
    context.failure = context.protocol = None
    pending = list(ends)
    for _ in range(MAX_FLIGHTS):
        for end in list(pending):
            try:
                end.do_handshake()
                pending.remove(end)
            except ssl.SSLWantReadError:
                continue
            except ssl.SSLError as error:
                context.failure = error
                return
    assert not pending, f"the TLS handshake did not finish in {MAX_FLIGHTS} rounds"
    context.protocol = ends[0].selected_alpn_protocol()


@then('the handshake succeeds on "{protocol}"')
def check_success(context, protocol):
    assert context.failure is None, context.failure
    assert context.protocol == protocol, context.protocol


@then("the handshake fails")
def check_failure(context):
    assert context.failure is not None
    assert "CERTIFICATE" in context.failure.reason, context.failure


@given(
    'settings with the callers\' certificate "{certificate}" and key "{key}" and '
    'authorities "{ca}"'
)
def write_tls_settings(context, certificate, key, ca):
    write_encrypted_key(context.directory / "locked.key")
    context.path = context.directory / "settings.toml"
    context.path.write_text(
        '[instance]\nname = "a"\ndata_centre = "north"\n[callers.tls]\n'
        f'certificate = "{certificate}"\nkey = "{key}"\nca = "{ca}"\n'
    )


def write_encrypted_key(path):
    path.write_bytes(
        ec.generate_private_key(ec.SECP256R1()).private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.BestAvailableEncryption(b"password"),
        )
    )


@when("the TLS settings are loaded")
def load_tls_settings(context):
    context.lines = ()
    try:
        load_settings(context.path)
    except SettingsError as error:
        context.lines = error.lines


@then('the only error starts with "{expected}"')
def check_only_tls_error(context, expected):
    assert len(context.lines) == 1, context.lines
    expected = f"{context.path}: {expected}".replace("DIR", str(context.directory))
    assert context.lines[0].startswith(expected), context.lines
    assert "\n" not in context.lines[0]
