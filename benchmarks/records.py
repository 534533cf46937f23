"""Writes a deployment's records and an instance's settings as TOML."""

import hashlib
from collections.abc import Mapping
from pathlib import Path

import tomli_w

from benchmarks.deployments import Deployment

SCHEMA_VERSION = 2
OPERATOR_KEY = "operator-key-of-the-run"


def make_application_key(team: str, service_class: str) -> str:
    """Return the API key of a team's application in one class.

    :param team: The team.
    :param service_class: The class that the application is bound to.
    :returns: The key.
    """
    return f"key-of-{team}-{service_class}"


def write_records(
    deployment: Deployment,
    urls: Mapping[str, str],
    watts_by_data_centre: Mapping[str, float],
) -> str:
    """Write the records of a deployment.

    Each team has one application for each class.

    :param deployment: The deployment.
    :param urls: The base addresses of the upstreams, by name.
    :param watts_by_data_centre: The power caps; may be empty.
    :returns: A TOML document of schema version 2.
    """
    document = {
        "schema_version": SCHEMA_VERSION,
        "class": [_write_class(each) for each in deployment.classes],
        "team": [{"name": t.name, "weight": t.weight} for t in deployment.teams],
        "application": list(_write_applications(deployment)),
        "binding": list(_write_bindings(deployment)),
        "upstream": list(_write_upstreams(deployment, urls)),
        "route": list(_write_routes(deployment)),
        "power_cap": [
            {"data_centre": name, "watts": watts}
            for name, watts in watts_by_data_centre.items()
        ],
    }
    return tomli_w.dumps(document)


def _write_class(service_class):
    return {
        "name": service_class.name,
        "tier": service_class.tier,
        "first_token_target_s": service_class.first_token_target_s,
        "between_tokens_target_s": service_class.between_tokens_target_s,
        "deadline_s": service_class.deadline_s,
        "max_wait_s": service_class.max_wait_s,
    }


def _each_application(deployment):
    for team in deployment.teams:
        for service_class in deployment.classes:
            yield f"{team.name}-{service_class.name}", team.name, service_class.name


def _write_applications(deployment):
    for name, team, service_class in _each_application(deployment):
        key = make_application_key(team, service_class)
        digest = hashlib.sha256(key.encode()).hexdigest()
        yield {"name": name, "team": team, "key_sha256": digest}


def _write_bindings(deployment):
    for name, team, service_class in _each_application(deployment):
        yield {
            "name": name,
            "team": team,
            "application": name,
            "class": service_class,
        }


def _write_upstreams(deployment, urls):
    for engine in deployment.engines:
        yield {
            "name": engine.name,
            "kind": "model",
            "data_centre": engine.data_centre,
            "url": urls[engine.name],
            "models": list(engine.models),
            "slots": engine.slots,
            "watts_per_slot": engine.watts_per_slot,
            "resumes_streams": True,
        }
    for service in deployment.services:
        yield {
            "name": service.name,
            "kind": "service",
            "data_centre": service.data_centre,
            "url": urls[service.name],
            "models": [service.service],
            "slots": service.slots,
        }


def _write_routes(deployment):
    for name in sorted({service.service for service in deployment.services}):
        yield {
            "name": f"{name}-submissions",
            "service": name,
            "method": "POST",
            "path_prefix": "submissions",
            "idempotent": False,
        }


def write_settings(path: Path, sections: Mapping[str, Mapping]) -> None:
    """Write an instance's settings file.

    :param path: The path of the file.
    :param sections: The sections by name.
    """
    path.write_text(tomli_w.dumps({name: dict(s) for name, s in sections.items()}))
