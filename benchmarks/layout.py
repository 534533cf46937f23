"""Works out the ports, settings and command lines of a fleet's processes."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from benchmarks.deployments import Deployment
from benchmarks.processes import LOOPBACK, find_free_ports
from benchmarks.records import OPERATOR_KEY, write_settings

PLATFORM = "platform"
RELAYS = ("callers", "peers", "platform", "upstreams")
PORTS_PER_INSTANCE = 3
FIRST_ADVERTISED_NUMBER = 11
MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class FleetPlan:
    """The plan of a fleet.

    :param seed: The seed of the stand-ins' random generators.
    :param load_lag_s: The age of the upstreams' load reports.
    :param list_lag_s: The age of the list that the platform publishes.
    :param service_delay_ms: How long a call of a plain service runs.
    :param watts_by_data_centre: The power caps; may be empty.
    :param has_relays: Whether connections go through relays: from callers and peers
        to each instance, from each instance to the platform, and from the instances
        to each upstream. Delays between callers and instances need relays.
    :param has_journals: Whether the platform and the upstreams write journals.
    :param sections: Sections of settings that override those of each instance.
    """

    deployment: Deployment
    seed: int = 1
    load_lag_s: float = 0.0
    list_lag_s: float = 0.0
    service_delay_ms: float = 50.0
    watts_by_data_centre: Mapping[str, float] = field(default_factory=dict)
    has_relays: bool = False
    has_journals: bool = False
    sections: Mapping[str, Mapping] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class InstanceLayout:
    """The data centre, the ports and the advertised host of one instance.

    :param advertised_host: The address that peers reach the instance at, either
        directly or through a relay on the same port of another address.
    """

    name: str
    data_centre: str
    callers_port: int
    operators_port: int
    peers_port: int
    advertised_host: str

    @property
    def operators_url(self) -> str:
        """The base address that operators reach the instance by."""
        return f"http://{LOOPBACK}:{self.operators_port}"


@dataclass(frozen=True, kw_only=True)
class RouteLayout:
    """One route of a relay.

    :param relay: The name of the relay that the route belongs to.
    """

    name: str
    relay: str
    host: str
    port: int
    target_port: int
    delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Layout:
    """The files, ports and routes of a fleet; restarts do not change them.

    :param directory: The directory that settings, journals and logs are written to.
    :param instances: The instances by name.
    :param ports: The ports of the platform, the upstreams and the relays, by name.
    :param routes: The routes by name; empty without relays.
    """

    plan: FleetPlan
    directory: Path
    instances: dict[str, InstanceLayout]
    ports: dict[str, int]
    routes: dict[str, RouteLayout]


def make_layout(plan: FleetPlan, directory: Path) -> Layout:
    """Choose names and free ports for a fleet.

    :param plan: The plan.
    :param directory: The existing directory that the fleet's files are written to.
    """
    deployment = plan.deployment
    upstreams = [each.name for each in (*deployment.engines, *deployment.services)]
    names = [PLATFORM, *upstreams]
    if plan.has_relays:
        names += [f"relay-{relay}" for relay in RELAYS]
    count = len(deployment.instances)
    # Each instance has its own ports and a route for callers and for the platform.
    # Each stand-in has a port, and each upstream a route.
    free_ports = find_free_ports((PORTS_PER_INSTANCE + 2) * count + 2 * len(names))
    ports = {name: free_ports.pop() for name in names}
    instances = {}
    for number, data_centre in enumerate(deployment.instances, start=1):
        instance_layout = _make_instance_layout(plan, number, data_centre, free_ports)
        instances[instance_layout.name] = instance_layout
    routes = {}
    if plan.has_relays:
        routes = {
            each.name: each
            for each in _make_route_layouts(plan, instances, ports, free_ports)
        }
    return Layout(
        plan=plan, directory=directory, instances=instances, ports=ports, routes=routes
    )


def find_callers_url(layout: Layout, instance: str) -> str:
    """Return the base address that callers reach an instance by.

    :param layout: The layout.
    :param instance: The instance's name.
    """
    route = layout.routes.get(f"callers-{instance}")
    port = route.port if route else layout.instances[instance].callers_port
    return f"http://{LOOPBACK}:{port}"


def find_upstream_url(layout: Layout, upstream: str) -> str:
    """Return the base address that instances reach an upstream by.

    :param layout: The layout.
    :param upstream: The upstream's name.
    """
    route = layout.routes.get(f"upstream-{upstream}")
    return f"http://{LOOPBACK}:{route.port if route else layout.ports[upstream]}"


def list_published(layout: Layout) -> list[dict]:
    """List all instances and upstreams as the platform publishes them.

    :param layout: The layout.
    """
    listed = [
        {
            "name": instance_layout.name,
            "kind": "instance",
            "data_centre": instance_layout.data_centre,
            "peer_address": f"{instance_layout.advertised_host}:"
            f"{instance_layout.peers_port}",
        }
        for instance_layout in layout.instances.values()
    ]
    deployment = layout.plan.deployment
    for upstream in (*deployment.engines, *deployment.services):
        listed.append(
            {
                "name": upstream.name,
                "kind": "upstream",
                "data_centre": upstream.data_centre,
            }
        )
    return listed


def write_instance_settings(layout: Layout, instance: str) -> Path:
    """Write the settings file of an instance.

    :param layout: The layout.
    :param instance: The instance's name.
    :returns: The path of the file.
    """
    instance_layout = layout.instances[instance]
    seeds = [
        f"{each.name}@{each.data_centre}@{each.advertised_host}:{each.peers_port}"
        for each in layout.instances.values()
        if each is not instance_layout
    ]
    route = layout.routes.get(f"platform-{instance}")
    platform_port = route.port if route else layout.ports[PLATFORM]
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    sections = {
        "instance": {
            "name": instance_layout.name,
            "data_centre": instance_layout.data_centre,
            "advertised_host": instance_layout.advertised_host,
        },
        "callers": {"port": instance_layout.callers_port},
        "operators": {"port": instance_layout.operators_port, "key_sha256": [digest]},
        "peers": {"port": instance_layout.peers_port, "seeds": seeds},
        "platform": {"kind": "http", "url": f"http://{LOOPBACK}:{platform_port}"},
        "invariants": {"fatal": True},
    }
    for name, values in layout.plan.sections.items():
        sections[name] = {**sections.get(name, {}), **values}
    path = layout.directory / f"{instance}.toml"
    write_settings(path, sections)
    return path


def write_platform_arguments(layout: Layout) -> list[str]:
    """Write the platform's list to a file, and return the platform's arguments.

    :param layout: The layout.
    """
    path = layout.directory / "instances.json"
    path.write_bytes(orjson.dumps(list_published(layout)))
    plan = layout.plan
    return [
        f"--port={layout.ports[PLATFORM]}",
        f"--instances={path}",
        f"--list-lag-s={plan.list_lag_s}",
        f"--seed={plan.seed}",
        *_write_journal_option(layout, PLATFORM),
    ]


def write_upstream_commands(layout: Layout) -> dict[str, tuple[str, list[str]]]:
    """Return the module and the arguments of each upstream, by its name.

    :param layout: The layout.
    """
    plan = layout.plan
    commands = {}
    for number, engine in enumerate(plan.deployment.engines, start=1):
        commands[engine.name] = (
            "standins.engine",
            [
                *_write_upstream_options(layout, engine),
                f"--models={','.join(engine.models)}",
                f"--seed={plan.seed * MS_PER_S + number}",
                f"--step-ms={engine.step_ms}",
                f"--step-per-request-ms={engine.step_per_request_ms}",
            ],
        )
    for service in plan.deployment.services:
        options = _write_upstream_options(layout, service)
        options.append(f"--delay-ms={plan.service_delay_ms}")
        commands[service.name] = ("standins.service", options)
    return commands


def _write_upstream_options(layout, upstream):
    return [
        f"--name={upstream.name}",
        f"--port={layout.ports[upstream.name]}",
        f"--slots={upstream.slots}",
        f"--load-lag-s={layout.plan.load_lag_s}",
        *_write_journal_option(layout, upstream.name),
    ]


def _write_journal_option(layout, name):
    if not layout.plan.has_journals:
        return []
    return [f"--journal={layout.directory / name}.jsonl"]


def _make_instance_layout(plan, number, data_centre, free_ports):
    advertised_host = LOOPBACK
    if plan.has_relays:
        # All of 127.0.0.0/8 is loopback, so a relay can use the instance's port number
        # on another address.
        advertised_host = f"127.0.0.{FIRST_ADVERTISED_NUMBER + number}"
    return InstanceLayout(
        name=f"{plan.deployment.name}-{number}",
        data_centre=data_centre,
        callers_port=free_ports.pop(),
        operators_port=free_ports.pop(),
        peers_port=free_ports.pop(),
        advertised_host=advertised_host,
    )


def _make_route_layouts(plan, instances, ports, free_ports):
    client_delay_s = plan.deployment.client_delay_ms / MS_PER_S
    for instance_layout in instances.values():
        yield RouteLayout(
            name=f"callers-{instance_layout.name}",
            relay="callers",
            host=LOOPBACK,
            port=free_ports.pop(),
            target_port=instance_layout.callers_port,
            delay_s=client_delay_s,
        )
        yield RouteLayout(
            name=f"peers-{instance_layout.name}",
            relay="peers",
            host=instance_layout.advertised_host,
            port=instance_layout.peers_port,
            target_port=instance_layout.peers_port,
        )
        yield RouteLayout(
            name=f"platform-{instance_layout.name}",
            relay="platform",
            host=LOOPBACK,
            port=free_ports.pop(),
            target_port=ports[PLATFORM],
        )
    for upstream in (*plan.deployment.engines, *plan.deployment.services):
        yield RouteLayout(
            name=f"upstream-{upstream.name}",
            relay="upstreams",
            host=LOOPBACK,
            port=free_ports.pop(),
            target_port=ports[upstream.name],
        )
