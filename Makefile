VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
SEED ?= 1
STEPS ?= 100000
SECONDS_PLAYED ?= 120
RUNS ?= 4

.PHONY: demo test check soak bench clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/cyclamenyoked demo

test: $(VENV)/.installed
	status=0; \
	$(BIN)/pytest -m "not crowd" || status=$$?; \
	$(BIN)/pytest -m crowd tests || status=$$?; \
	exit $$status

check: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

soak: $(VENV)/.installed
	PYTHONPATH=tests $(BIN)/python -m soak --seed $(SEED) --steps $(STEPS)
	PYTHONPATH=tests $(BIN)/python -m gateway_soak --seed $(SEED) --seconds $(SECONDS_PLAYED)
	PYTHONPATH=tests $(BIN)/python -m gateway_soak --seed $(SEED) --seconds $(SECONDS_PLAYED) --crashing-requests
	PYTHONPATH=tests $(BIN)/python -m process_soak --seed $(SEED) --runs $(RUNS)

clean:
	rm -rf $(VENV) build src/*.egg-info
