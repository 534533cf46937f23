"""Groups of upstreams that share targets; each group has one slot allocation."""

from dataclasses import dataclass, field

from jujubenotch.records import Configuration, Upstream


@dataclass(frozen=True, kw_only=True)
class Groups:
    """The groups of one data centre.

    :param group_by_target: The group's name by target; a target is a model or a
        plain service.
    :param upstreams_by_group: The group's upstreams by the group's name.
    """

    group_by_target: dict[str, str] = field(default_factory=dict)
    upstreams_by_group: dict[str, tuple[Upstream, ...]] = field(default_factory=dict)


def group_upstreams(configuration: Configuration, data_centre: str) -> Groups:
    """Divide a data centre's upstreams into groups that share no target.

    A group is a connected component of upstreams and targets. Its name consists
    of its data centre and its first target in alphabetical order, so that all
    instances with the same configuration use the same name.

    :param configuration: The current records.
    :param data_centre: The data centre's name.
    :returns: The groups.
    """
    upstreams = [
        upstream
        for _, upstream in sorted(configuration.upstreams.items())
        if upstream.data_centre == data_centre and upstream.models
    ]
    parents = {target: target for upstream in upstreams for target in upstream.models}
    for upstream in upstreams:
        for target in upstream.models[1:]:
            _merge(parents, upstream.models[0], target)
    names = {
        target: f"{data_centre}/{_find_root(parents, target)}" for target in parents
    }
    members: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        members.setdefault(names[upstream.models[0]], []).append(upstream)
    return Groups(
        group_by_target=names,
        upstreams_by_group={name: tuple(group) for name, group in members.items()},
    )


def find_tiers(configuration: Configuration) -> dict[str, set[int]]:
    """Find the tiers of the service classes that are bound to each target.

    :param configuration: The current records.
    :returns: The tiers by target; the empty name has the tiers of the bindings
        that apply to every target.
    """
    tiers: dict[str, set[int]] = {"": set()}
    for binding in configuration.bindings.values():
        tier = configuration.classes[binding.service_class].tier
        tiers.setdefault(binding.target, set()).add(tier)
    return tiers


def _find_root(parents, target):
    while parents[target] != target:
        target = parents[target]
    return target


def _merge(parents, target, other_target):
    first, second = sorted(
        (_find_root(parents, target), _find_root(parents, other_target))
    )
    parents[second] = first
