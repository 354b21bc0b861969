VENV ?= .venv
PYTHON ?= python3
DEPLOYMENT ?= ledger
SEED ?= 1
SEEDS ?= 1 2 3
BIN = $(VENV)/bin

.PHONY: soak setup run measure test lint format types lock capacity

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

setup: $(VENV)/.installed

run: setup
	$(BIN)/python -m standins.run_deployment $(DEPLOYMENT)

measure: setup
	@$(BIN)/python -m measurement $(SEED)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 --jobs 4 peridotrill standins tests capacity measurement

types: setup
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .

test: lint types
	$(BIN)/python -m tests.known_red

# Measures for about two minutes; writes the results and the page's tables.
capacity: setup
	$(BIN)/python -m capacity

# Plays random faults; prints what was broken. SEEDS: numbers, one play each;
# after --planned, only planned work that overlaps.
soak: setup
	$(BIN)/python -m tests.soak $(SEEDS)

lock:
	$(BIN)/pip freeze --all --exclude pip --exclude-editable > requirements.lock
