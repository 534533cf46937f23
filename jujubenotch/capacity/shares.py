"""How much of a group's slots an instance may grant."""

from collections.abc import Collection

REBUILD_S = 1.0


def choose_own_share(known: Collection[str]) -> float:
    """Choose the share that an instance grants itself without a home.

    :param known: All instances of the data centre that may take work, with
        this one.
    :returns: The share, up to 1.

    >>> choose_own_share(["a", "b"])
    0.5
    """
    return 1.0 / len(known)


def choose_home_share(
    *,
    known: Collection[str],
    live: Collection[str],
    attached: Collection[str],
    age_s: float,
) -> float:
    """Choose the share that a home grants.

    A new home knows nothing of the slots that others hold, so until all that
    it can hear have reported, or for a second, it grants an own share only.
    Later it leaves out the own shares of those that haven't reported: they may
    run behind a cut, or take another instance for the home.

    :param known: All instances of the data centre that may take work, with
        the home.
    :param live: Those heard lately, with the home.
    :param attached: Those that have reported what they hold.
    :param age_s: How long the home has kept the account, in seconds.
    :returns: The share, up to 1.
    """
    everyone = set(known)
    audible = everyone.intersection(live)
    reporting = everyone.intersection(attached)
    if age_s < REBUILD_S and not reporting >= audible:
        return choose_own_share(everyone)
    return max(1, len(reporting)) / len(everyone)
