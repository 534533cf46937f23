#!/bin/sh
# The stand-ins are Python programs, so building them only checks that they load.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review/common
export PYTHONDONTWRITEBYTECODE PYTHONPATH
python3 -c "import rig, worker, standins.store"
