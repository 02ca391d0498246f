PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
LIBS := $(sort $(wildcard libs/*))

.PHONY: setup demo test lint format

setup: $(VENV)/.stamp

$(VENV)/.stamp: requirements/run.txt requirements/dev.txt $(wildcard libs/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach lib,$(LIBS),-e $(lib))
	touch $@

demo: setup
	$(BIN)/python -m benchmarks.demo

test: setup
	$(BIN)/python -m pytest -q

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
