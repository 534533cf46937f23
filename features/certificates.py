"""Creates certificate authorities and certificates in the directory of a test."""

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

DAY = datetime.timedelta(days=1)
NOT_ENCRYPTED = serialization.NoEncryption()


@dataclass(frozen=True, kw_only=True)
class Authority:
    """A certificate authority; ``path`` is the PEM file of its own certificate."""

    name: str
    key: ec.EllipticCurvePrivateKey
    path: Path


@dataclass(frozen=True, kw_only=True)
class CertificateFiles:
    """The PEM files of a certificate and of its private key."""

    certificate: Path
    key: Path


def make_authority(directory, name):
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = sign_certificate(name, key.public_key(), name, key, is_authority=True)
    path = Path(directory) / f"{name}.pem"
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return Authority(name=name, key=key, path=path)


def make_certificate(directory, authority, name, *, is_expired=False):
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = sign_certificate(
        name, key.public_key(), authority.name, authority.key, is_expired=is_expired
    )
    files = CertificateFiles(
        certificate=Path(directory) / f"{name}.pem",
        key=Path(directory) / f"{name}.key",
    )
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    files.key.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            NOT_ENCRYPTED,
        )
    )
    return files


def sign_certificate(
    name, public_key, issuer, issuer_key, *, is_authority=False, is_expired=False
):
    now = datetime.datetime.now(datetime.UTC)
    not_valid_after = now - DAY if is_expired else now + DAY
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(make_x509_name(name))
        .issuer_name(make_x509_name(issuer))
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - 2 * DAY)
        .not_valid_after(not_valid_after)
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(issuer_key, hashes.SHA256())
    )


def make_x509_name(name):
    return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
