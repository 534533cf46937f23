"""Looks up the binding and the idempotence of a request in the records."""

from dataclasses import dataclass
from urllib.parse import unquote

from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.records.model import (
    Application,
    Binding,
    Configuration,
    ServiceClass,
    Team,
)

RETRY_AFTER_CHANGE_S = 5.0
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
NON_CANONICAL_SEGMENTS = frozenset({"", ".", ".."})


@dataclass(frozen=True, kw_only=True)
class CallerIdentity:
    """The caller of a request, with the class of the request.

    :param team: The team of the caller.
    :param application: The application that the API key belongs to.
    :param service_class: The class of the request.
    :param binding: The binding that determines the class.
    """

    team: Team
    application: Application
    service_class: ServiceClass
    binding: Binding


def identify_caller(
    configuration: Configuration, key_sha256: str, target: str
) -> CallerIdentity | Refusal:
    """Find the team, application and class of a request.

    The most specific binding applies: a binding of the application takes
    precedence over one of the whole team, and then a binding for the target
    over one for all targets.

    :param configuration: The configuration in force.
    :param key_sha256: Lower-case hexadecimal SHA-256 digest of the caller's
        API key.
    :param target: The requested model or plain service.
    :returns: The identity of the caller, or a refusal with reason
        ``AUTHENTICATION`` or ``NO_BINDING``.
    """
    application = configuration.index.application_by_digest.get(key_sha256)
    if application is None:
        return Refusal(
            reason=RefusalReason.AUTHENTICATION,
            retry_after_s=RETRY_AFTER_CHANGE_S,
            detail="the key belongs to no application; check the key",
        )
    binding = _find_most_specific_binding(configuration, application, target)
    if binding is None:
        return Refusal(
            reason=RefusalReason.NO_BINDING,
            retry_after_s=RETRY_AFTER_CHANGE_S,
            detail=f"application {application.name!r} is bound to no class for "
            f"{target!r}; ask an operator for a binding",
        )
    return CallerIdentity(
        team=configuration.teams[application.team],
        application=application,
        service_class=configuration.classes[binding.service_class],
        binding=binding,
    )


def is_idempotent(
    configuration: Configuration, service: str, method: str, path: str
) -> bool:
    """Return whether a call of a plain service may be repeated.

    The route with the longest matching prefix decides; between routes with
    equal prefixes, the one that names the method takes precedence. Without a
    matching route, only safe methods are idempotent. A path with empty or dot
    segments or with a backslash may address a non-idempotent route in another
    spelling, so such a call is never treated as idempotent.

    :param configuration: The configuration in force.
    :param service: The name of the plain service.
    :param method: The HTTP method, in upper case.
    :param path: The path below ``/services/NAME/``, as received from the
        caller.
    :returns: Whether the call is idempotent.
    """
    decoded_path = unquote(path.partition("?")[0]).removeprefix("/")
    if any(
        segment in NON_CANONICAL_SEGMENTS for segment in decoded_path.split("/")[:-1]
    ):
        return False
    if decoded_path.rpartition("/")[2] in {".", ".."} or "\\" in decoded_path:
        return False
    for route in configuration.index.routes.get(service, ()):
        is_method_match = route.method in ("*", method)
        if is_method_match and decoded_path.startswith(
            route.path_prefix.removeprefix("/")
        ):
            return route.idempotent
    return method in SAFE_METHODS


def _find_most_specific_binding(configuration, application, target) -> Binding | None:
    bindings = configuration.index.bindings
    for application_name in (application.name, ""):
        for binding_target in (target, ""):
            if binding := bindings.get(
                (application.team, application_name, binding_target)
            ):
                return binding
    return None
