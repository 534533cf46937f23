from jujubenotch.invariants import read_violations


def after_scenario(context, scenario):
    assert not read_violations(), read_violations()
