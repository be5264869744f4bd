PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup check format test demo bench clean

setup: $(STAMP)

# hdrhistogram has no wheel for arm64; its build takes the version from pbr.
$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt setuptools pbr
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation -c constraints.txt -e '.[dev]'
	touch $(STAMP)

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/endivepier demo

bench: setup
	for name in added_latency effects recovery limits config scheduling slopes; do \
		$(BIN)/python -m bench.$$name --seed 1 || exit 1; \
	done

clean:
	rm -rf $(VENV) build src/*.egg-info
