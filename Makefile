VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: all setup test lint format docs demo bench-path bench-policy \
  bench-slopes bench-domain bench-overload fault-matrix fuzz fuzz-parsers soak

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

test: lint docs
	$(PY) -m pytest

demo: setup
	$(PY) -m benchmarks.demo

bench-path: setup
	$(PY) -m benchmarks.path

bench-control: setup
	$(PY) -m benchmarks.control

bench-policy: setup
	$(PY) -m benchmarks.policy

bench-domain: setup
	$(PY) -m benchmarks.domain

bench-overload: setup
	$(PY) -m benchmarks.overload

bench-slopes: setup
	$(PY) -m benchmarks.slopes

fault-matrix: setup
	$(PY) -m benchmarks.fault_matrix

soak: setup
	$(PY) -m benchmarks.soak --seed 1 --seeds 50

fuzz: setup
	$(PY) -m benchmarks.fuzz

# A million inputs; those of CI are fewer and the same each time.
fuzz-parsers: setup
	HYPOTHESIS_PROFILE=fuzz $(PY) -m pytest tests/test_gateway/test_parsers.py

docs: setup
	$(VENV)/bin/sphinx-build -q -W -b html docs build/docs
