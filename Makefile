PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable ".[dev]"
	touch $(STAMP)

.PHONY: demo test format
demo: $(STAMP)
	$(VENV)/bin/rattanworks demo

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/python -m rattanworks.tests

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
