PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
DURATION_S ?= 60

.PHONY: demo test lint format soak bench-capacity bench-groups bench-routing bench-stale-reads prove-guards clean

$(STAMP): requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml standins/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt hatchling editables
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt -r requirements.txt
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python bench/demo.py

test: lint
	HYPOTHESIS_PROFILE=ci $(BIN)/pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: $(STAMP)
	$(BIN)/python bench/soak.py --seed $(SEED) --duration-s $(DURATION_S)

bench-capacity: $(STAMP)
	$(BIN)/python bench/capacity.py

bench-groups: $(STAMP)
	$(BIN)/python bench/groups.py --seed $(SEED)

bench-routing: $(STAMP)
	$(BIN)/python bench/routing.py --seed $(SEED)

bench-stale-reads: $(STAMP)
	$(BIN)/python bench/stale_reads.py

prove-guards: $(STAMP)
	$(BIN)/python bench/guards.py

clean:
	rm -rf $(VENV)
