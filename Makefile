VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(wildcard packages/*)) platform
STAMP := $(VENV)/.installed
SEEDS ?= 1 2 3
EXAMPLES ?= 300

.PHONY: all install test lint format demo measure model fuzz clean

all: lint test

$(STAMP): constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt setuptools
	$(BIN)/pip install --quiet -c constraints.txt -r requirements.txt
	$(BIN)/pip install --quiet --no-build-isolation -c constraints.txt $(foreach p,$(PACKAGES),-e ./$(p))
	touch $(STAMP)

install: $(STAMP)

test: $(STAMP)
	$(BIN)/python scripts/run_tests.py

lint: $(STAMP)
	$(BIN)/black --check --quiet packages platform scripts tests
	$(BIN)/ruff check --quiet packages platform scripts tests
	$(BIN)/mypy packages/*/src platform/src scripts

format: $(STAMP)
	$(BIN)/black --quiet packages platform scripts tests
	$(BIN)/ruff check --quiet --fix packages platform scripts tests

demo: $(STAMP)
	$(BIN)/python scripts/demo.py $(if $(KEEP),--keep)

measure: $(STAMP)
	$(BIN)/python -m jacinthreel_bench measure --seeds "$(SEEDS)"

model: $(STAMP)
	EXAMPLES=$(EXAMPLES) $(BIN)/python -m pytest packages/node/tests/test_ownership_machine.py

fuzz: $(STAMP)
	EXAMPLES=$(EXAMPLES) $(BIN)/python -m pytest tests/adapter/test_fuzz.py

clean:
	rm -rf build $(VENV)
