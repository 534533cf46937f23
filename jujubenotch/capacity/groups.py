"""The groups of upstreams of one data centre and their limits."""

from dataclasses import dataclass, field

from jujubenotch.records import Configuration, Limits, Upstream
from jujubenotch.routing import find_tiers, group_upstreams


@dataclass(frozen=True, kw_only=True)
class GroupPlan:
    """One group of upstreams, as described by the current configuration.

    :param power_watts: The group's part of the data centre's power cap, in
        watts; ``None`` when there is no cap.
    :param tiers: The tiers of the service classes that may use the group.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    limits: Limits
    power_watts: float | None = None
    tiers: frozenset[int] = frozenset()


@dataclass(frozen=True, kw_only=True)
class GroupPlans:
    """All groups of one data centre.

    :param by_name: The groups by name.
    :param by_target: The name of the group that serves a model or service.
    :param by_upstream: The name of the group that an upstream belongs to.
    """

    by_name: dict[str, GroupPlan] = field(default_factory=dict)
    by_target: dict[str, str] = field(default_factory=dict)
    by_upstream: dict[str, str] = field(default_factory=dict)


def plan_groups(configuration: Configuration, data_centre: str) -> GroupPlans:
    """Determine the groups of a data centre and their parts of its power cap.

    The cap is divided in proportion to the power that each group draws with all
    its slots in use, so that the sum of the parts never exceeds the cap.

    :param configuration: The current configuration.
    :param data_centre: The data centre's name.
    :returns: The groups.
    """
    groups = group_upstreams(configuration, data_centre)
    members = groups.upstreams_by_group
    full_power_watts = {
        name: _sum_full_power_watts(group) for name, group in members.items()
    }
    total_watts = sum(full_power_watts.values())
    cap = configuration.power_caps.get(data_centre)
    tiers = find_tiers(configuration)
    plans = GroupPlans(by_target=groups.group_by_target)
    for name, upstreams in members.items():
        power_watts = None
        if cap is not None and total_watts > 0:
            power_watts = cap.watts * full_power_watts[name] / total_watts
        plans.by_name[name] = GroupPlan(
            name=name,
            upstreams=upstreams,
            limits=configuration.limits,
            power_watts=power_watts,
            tiers=_merge_tiers(tiers, upstreams),
        )
        plans.by_upstream.update((upstream.name, name) for upstream in upstreams)
    return plans


def _merge_tiers(tiers, upstreams):
    targets = {target for upstream in upstreams for target in upstream.models}
    return frozenset(tiers[""].union(*(tiers.get(target, ()) for target in targets)))


def _sum_full_power_watts(upstreams):
    return sum(upstream.slots * upstream.watts_per_slot for upstream in upstreams)
