# Developer commands. All tools come from the virtual environment in VENV.

VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := packages/kumquat_core/src packages/kumquatrouter/src packages/kumquatctl/src packages/kumquat_lab/src packages/kumquat_relay/src

# The sources of this checkout go before those installed in VENV, so that
# several worktrees can share one environment.
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))

.PHONY: setup demo test lint format types pytest features check-model slopes bench soak

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check --require-hashes -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation --no-deps $(foreach s,$(SOURCES),-e $(dir $(s)))
	touch $@

format: setup
	$(BIN)/ruff format packages tests features platform
	$(BIN)/ruff check --fix packages tests features platform

lint: setup
	$(BIN)/ruff format --check packages tests features platform
	$(BIN)/ruff check packages tests features platform

types: setup
	$(BIN)/mypy $(SOURCES) platform/kumquat_platform

pytest: setup
	$(BIN)/python -m pytest

features: setup
	$(BIN)/behave --format progress --no-capture features

check-model: setup
	$(BIN)/python -m kumquat_lab check-model

test: pytest features check-model

demo: setup
	$(BIN)/python -m kumquat_lab demo

bench: setup
	$(BIN)/python -m kumquat_lab bench

slopes: setup
	$(BIN)/python -m kumquat_lab slopes

# make soak SEED=7 SECONDS_=60 plays random faults against real host processes.
SEED ?= 1
SECONDS_ ?= 30
soak: setup
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/platform $(BIN)/python -m tests.soak --seed $(SEED) --seconds $(SECONDS_)
