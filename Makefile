# Main targets: make demo, make test, make lint, make bench.
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = gentiantrestle standins tests benchmarks examples

.PHONY: install demo test lint format bench wire clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: install
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/demo.sh

test: install
	$(BIN)/pytest $(ARGS)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 $(PACKAGES)

format: install
	$(BIN)/ruff format .

bench: install
	$(BIN)/python -m benchmarks.core $(ARGS)

wire:
	thrift --gen py:slots -out gentiantrestle/wire \
		gentiantrestle/wire/peer.thrift

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis
