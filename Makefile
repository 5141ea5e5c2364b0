# `make dev` and `make test` set up everything themselves.
PY ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready

.PHONY: days dev test check bench slopes capacity uneven chaos soak rollout-soak binary generate docs examples clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PY) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install -q -e .
	touch $(STAMP)

dev: $(STAMP)
	$(BIN)/ramppost dev

test: $(STAMP) check
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

generate: $(STAMP)
	PATH=$(CURDIR)/$(BIN):$$PATH sh ramppost/schema/generate.sh

docs: $(STAMP)
	$(BIN)/python -m tools.write_reference

examples: $(STAMP)
	$(BIN)/python -m ramppost.standin.write_examples examples

SEED ?= 7
DURATION_S ?= 60
FLEET ?= mesob
chaos: $(STAMP)
	$(BIN)/python -m tests.harness.chaos --seed $(SEED) --duration-s $(DURATION_S) --fleet $(FLEET)

SEEDS ?=
SOAK_S ?= 12
soak: $(STAMP)
	$(BIN)/python -m tests.harness.soak --duration-s $(SOAK_S) --seeds $(SEEDS)

rollout-soak: $(STAMP)
	$(BIN)/python -m tests.harness.rollout_soak --seeds $(SEEDS)

BENCH ?= BENCH-is-not-set
SITES ?=
JOBS ?= 4
days: $(STAMP)
	$(BIN)/python -m tools.days --bench $(BENCH) --jobs $(JOBS) $(if $(SAVE),--save) $(SITES)

SECONDS_EACH ?= 15
slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

uneven: $(STAMP)
	$(BIN)/python -m bench.uneven

bench: $(STAMP)
	$(BIN)/python -m bench.main --seed $(SEED) --seconds $(SECONDS_EACH)

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/pex . -r requirements.txt -m ramppost -o dist/ramppost.pex

clean:
	rm -rf $(VENV) dist build *.egg-info
