#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review/common
export PYTHONDONTWRITEBYTECODE PYTHONPATH
exec python3 review/3/case.py
