#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python and need no more than
# target/deps, which the build of the deploy file has made; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common-3"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import site3, standins.store'
