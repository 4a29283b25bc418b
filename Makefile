# Targets: venv, test, known-red, demo, generate, format.
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: venv test known-red demo generate format

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

venv: $(STAMP)

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

known-red: $(STAMP)
	$(BIN)/python tools/run_tests.py --known-red

demo: $(STAMP)
	$(BIN)/python -m nutmeglead.programs.emulate examples/days/shift-change.jsonc

generate:
	tools/generate.sh

format: $(STAMP)
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .
