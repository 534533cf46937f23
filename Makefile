PYTHON ?= python3
BIN := .venv/bin
SEED ?= 1
DURATION_S ?= 60
FLEET ?= own

.PHONY: install test format demo soak proto

install: .venv/installed

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $@

test: install
	$(BIN)/python -m features.run_checks

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: install
	$(BIN)/python -m benchmarks.demo

soak: install
	$(BIN)/python -m benchmarks.soak --fleet=$(FLEET) --seed=$(SEED) --duration-s=$(DURATION_S)

proto: install
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -I. --python_out=. --grpclib_python_out=. jujubenotch/peers/peers.proto
