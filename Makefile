PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo test lint bench capacity soak fuzz fuzz-hosts report review

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: install
	$(BIN)/python -m standins.demo

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: install
	$(BIN)/python -m bench

capacity: install
	$(BIN)/python -m bench.capacity

report: install
	$(BIN)/python -m bench.report --out target/report.html

target/deps: deploy/requirements.txt
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --upgrade --target $@ -r $<
	touch $@

review: install target/deps
	bash review/build.sh
	for number in 1 2 3 4 5; do bash review/$$number/run.sh || exit 1; done

SEEDS ?= 50

soak: install
	$(BIN)/python -m standins.soak --seeds $(SEEDS)

INPUTS ?= 100000

fuzz: install
	$(BIN)/python -m fuzz --inputs $(INPUTS) --minutes 10

MINUTES ?= 10

fuzz-hosts: install
	$(BIN)/python -m fuzz.hosts --seeds $(SEEDS) --minutes $(MINUTES) --keep target/fuzz-hosts
