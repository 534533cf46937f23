from behave import then

from jujubenotch.capacity.shares import compute_coordinator_share


@then(
    'with "{known}" known, "{live}" live and "{attached}" attached, '
    "a coordinator that is {age_s:g} s old grants {share:g}"
)
def check_share(context, known, live, attached, age_s, share):
    chosen = compute_coordinator_share(
        known=known.split(),
        live=live.split(),
        attached=attached.split(),
        age_s=age_s,
    )
    assert round(chosen, 3) == share, chosen
