# The only two commands a new user needs are `make demo` and `make test`.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)

# Tests listed in KNOWN-RED.txt are passed over, and nothing else; .ci/run prints them.
KNOWN_RED = $(shell sed -n 's/ |.*//p' KNOWN-RED.txt 2>/dev/null)

.PHONY: demo test format lint types unit features measure clean

$(VENV)/.installed: requirements/run.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m tools.demo

test: lint types unit features

format: $(VENV)/.installed
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/ruff format .

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(VENV)/.installed
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest -n 6 $(foreach test,$(KNOWN_RED),'--deselect=$(test)')

features: $(VENV)/.installed
	$(BIN)/python -m tools.features

measure: $(VENV)/.installed
	$(BIN)/python -m tools.measure

clean:
	rm -rf $(VENV) out .mypy_cache .ruff_cache .pytest_cache
