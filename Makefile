PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test demo soak lint format types check bench clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m tests.support.suites

demo: setup
	$(BIN)/python -m tests.standins.demo $(DEMO_ARGS)

soak: setup
	$(BIN)/python -m tests.soak $(or $(SEED),1) --minutes $(or $(MINUTES),1) $(SOAK_ARGS)

lint: setup
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format --check .

types: setup
	$(BIN)/mypy

check: lint format types test

clean:
	rm -rf $(VENV) *.egg-info .hypothesis .mypy_cache .ruff_cache
