"""Validates the references and constraints between records."""

from collections.abc import Iterable, Iterator, Mapping

from jujubenotch.records.model import (
    Application,
    Binding,
    Configuration,
    PowerCap,
    Route,
    ServiceClass,
    Upstream,
    UpstreamKind,
)
from jujubenotch.records.record import Problem, RecordBody, Source, get_record_key


def find_problems(
    configuration: Configuration, sources: Mapping[RecordBody, Source]
) -> list[Problem]:
    """Validate a whole configuration.

    :param configuration: The configuration that would come into force.
    :param sources: The places that define the new records; records that are
        already in force are not included.
    :returns: All problems found; empty if the configuration is valid.
    """
    findings = [
        *_check_classes(configuration),
        *_check_applications(configuration),
        *_check_bindings(configuration),
        *_check_upstreams(configuration),
        *_check_routes(configuration),
        *_check_power_caps(configuration),
        *_check_drains(configuration),
    ]
    return [_make_problem(sources, *entry) for entry in findings]


def _make_problem(sources, body, key, value, message, remedy):
    source = sources.get(body, Source())
    return Problem(
        file=source.file,
        line=source.line,
        key=f"{get_record_key(body)}.{key}",
        value=value,
        message=message,
        remedy=remedy,
    )


def _check_classes(configuration) -> Iterator[tuple]:
    for service_class in configuration.classes.values():
        yield from _check_class(service_class)


def _check_class(service_class: ServiceClass):
    if service_class.deadline_s < service_class.first_token_target_s:
        yield (
            service_class,
            "deadline_s",
            f"{service_class.deadline_s} s",
            f"is before the first token's target of "
            f"{service_class.first_token_target_s} s",
            "raise the deadline",
        )


def _check_applications(configuration) -> Iterator[tuple]:
    bound_callers = _list_bound_callers(configuration.bindings.values())
    first_by_digest: dict[str, Application] = {}
    for application in configuration.applications.values():
        first = first_by_digest.setdefault(application.key_sha256, application)
        if first is not application:
            yield (
                application,
                "key_sha256",
                "",
                f"is the key of application {first.name!r} too",
                "give each application a key of its own",
            )
        if application.team not in configuration.teams:
            yield (
                application,
                "team",
                repr(application.team),
                "is not a team",
                "add the team or correct the name",
            )
        elif not bound_callers & {
            (application.team, ""),
            (application.team, application.name),
        }:
            yield (
                application,
                "team",
                repr(application.team),
                "would be left without any binding to a class",
                "bind the team or the application, or delete the application",
            )


def _list_bound_callers(bindings: Iterable[Binding]) -> frozenset[tuple[str, str]]:
    return frozenset((binding.team, binding.application) for binding in bindings)


def _check_bindings(configuration) -> Iterator[tuple]:
    first_by_subject: dict[tuple[str, str, str], Binding] = {}
    for binding in configuration.bindings.values():
        subject = (binding.team, binding.application, binding.target)
        first = first_by_subject.setdefault(subject, binding)
        if first is not binding:
            yield (
                binding,
                "team",
                repr(binding.team),
                f"is bound by {first.name!r} for the same application and target",
                "keep one of the two bindings",
            )
        yield from _check_binding(configuration, binding)


def _check_binding(configuration, binding):
    if binding.service_class not in configuration.classes:
        yield (
            binding,
            "class",
            repr(binding.service_class),
            "is not a class",
            "add the class or correct the name",
        )
    if binding.team not in configuration.teams:
        yield (
            binding,
            "team",
            repr(binding.team),
            "is not a team",
            "add the team or correct the name",
        )
    if not binding.application:
        return
    application = configuration.applications.get(binding.application)
    if application is None or application.team != binding.team:
        yield (
            binding,
            "application",
            repr(binding.application),
            f"is not an application of team {binding.team!r}",
            "add the application or correct the name",
        )


def _check_upstreams(configuration) -> Iterator[tuple]:
    first_by_url: dict[str, Upstream] = {}
    for upstream in configuration.upstreams.values():
        first = first_by_url.setdefault(upstream.url, upstream)
        if first is not upstream:
            yield (
                upstream,
                "url",
                repr(upstream.url),
                f"is the address of upstream {first.name!r} too",
                "its slots would count twice: keep one of the two",
            )
        yield from _check_upstream(configuration, upstream)


def _check_upstream(configuration, upstream):
    has_power_cap = upstream.data_centre in configuration.power_caps
    is_model = upstream.kind is UpstreamKind.MODEL
    if is_model and has_power_cap and not upstream.watts_per_slot:
        yield (
            upstream,
            "watts_per_slot",
            "0",
            f"would escape the power cap of data centre {upstream.data_centre!r}",
            "give the power of one running request, in watts",
        )
    for name in upstream.models:
        if not is_model and name in configuration.index.model_targets:
            yield (
                upstream,
                "models",
                repr(name),
                "is a model's name too, so both would share their slots",
                "give the plain service a name of its own",
            )
        if not is_model and "/" in name:
            yield (
                upstream,
                "models",
                repr(name),
                "can't stand in a path below /services/",
                "name the service without a slash",
            )


def _check_routes(configuration) -> Iterator[tuple]:
    services = configuration.index.service_targets
    for route in configuration.routes.values():
        yield from _check_route(services, route)


def _check_route(services, route: Route):
    if route.service not in services:
        yield (
            route,
            "service",
            repr(route.service),
            "is not a service of any upstream",
            "add an upstream of kind service that names it, or delete the route",
        )


def _check_power_caps(configuration) -> Iterator[tuple]:
    for power_cap in configuration.power_caps.values():
        yield from _check_power_cap(configuration, power_cap)


def _check_power_cap(configuration, power_cap: PowerCap):
    slot_watts = [
        upstream.watts_per_slot
        for upstream in configuration.upstreams.values()
        if upstream.data_centre == power_cap.data_centre and upstream.watts_per_slot
    ]
    if power_cap.watts <= 0 or slot_watts and power_cap.watts < min(slot_watts):
        yield (
            power_cap,
            "watts",
            f"{power_cap.watts} W",
            "lets no request run that costs power",
            "raise it to the cost of at least one slot",
        )


def _check_drains(configuration) -> Iterator[tuple]:
    for drain in configuration.drains.values():
        if drain.upstream not in configuration.upstreams:
            yield (
                drain,
                "upstream",
                repr(drain.upstream),
                "is not an upstream",
                "correct the name, or delete the drain with its upstream",
            )
