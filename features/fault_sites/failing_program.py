"""Runs the router with one function that raises an error at its n-th call.

Usage: ``python -m features.fault_sites.failing_program MODULE.FUNCTION N OPTIONS...``.
"""

import importlib
import itertools
import sys

from jujubenotch.platform.program import main


class InjectedError(Exception):
    """The error that the function raises."""


def fail_at(path, number):
    """Replace a function by one that raises an error at its n-th call.

    :param path: The module that calls the function, and the name that it has there.
    :param number: The number of the call that fails, from 1.
    """
    module_name, name = path.rsplit(".", 1)
    module = importlib.import_module(module_name)
    function = getattr(module, name)
    numbers = itertools.count(1)

    def call(*arguments, **options):
        if next(numbers) == number:
            raise InjectedError(f"call {number} of {path}")
        return function(*arguments, **options)

    setattr(module, name, call)


if __name__ == "__main__":
    path, number, *options = sys.argv[1:]
    fail_at(path, int(number))
    sys.exit(main(options))
