PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SOURCES := $(sort $(wildcard libs/*/src)) platform/src platform/standins/src
PROGRAMS := libs/cli libs/daemon
WORKERS ?= 4

.PHONY: setup demo test lint format

setup: $(VENV)/.stamp

$(VENV)/.stamp: requirements/run.txt requirements/dev.txt $(wildcard libs/*/pyproject.toml) Makefile
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach program,$(PROGRAMS),-e $(program))
	$(BIN)/python -c "import sys, sysconfig; \
		open(sysconfig.get_path('purelib') + '/mulberryhub.pth', 'w') \
		.write('\n'.join(sys.argv[1:]))" $(abspath $(SOURCES))
	touch $@

demo: setup
	$(BIN)/python -m benchmarks.demo

test: setup
	$(BIN)/python -m pytest -q -n $(WORKERS) --dist worksteal

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
