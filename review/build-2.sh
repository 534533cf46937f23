#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python and use the libraries that the
# build of the deploy file has placed under target/deps; compiling them shows that all is there.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 - <<'PY'
import standins.store
PY
python3 -m compileall -q review/common-2 standins >/dev/null
