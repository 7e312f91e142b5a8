VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: all setup test lint format docs demo bench-path bench-policy \
  bench-slopes bench-domain bench-overload fault-matrix fuzz

all: test

# Installs the locked dependencies and this package into .venv.
$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3.11 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.lock
	$(PY) -m pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

setup: $(STAMP)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

test: lint
	$(PY) -m pytest

demo: setup
	$(PY) -m benchmarks.demo

bench-path: setup
	$(PY) -m benchmarks.path
