.PHONY: setup demo demo-group test lint format lock bench explore slopes schema pages settings-page examples

PYTHON_TREES = packages platform tests tools
SEEDS ?= 200

setup:
	@tools/setup >/dev/null

demo:
	@tools/run python -m tools.demo

demo-group:
	@tools/run python -m tools.demo_group

test: lint
	@tools/run pytest -n 4 --dist worksteal

lint:
	@tools/run ruff format --check $(PYTHON_TREES)
	@tools/run ruff check $(PYTHON_TREES)
	@tools/run flake8 $(PYTHON_TREES)

format:
	@tools/run ruff format $(PYTHON_TREES)
	@tools/run ruff check --fix $(PYTHON_TREES)

lock:
	@tools/lock

bench:
	@tools/run python -m tools.bench
	@tools/run python -m tools.bench_answers

# Writes the pages that are made from the code.
pages: settings-page schema

settings-page:
	@tools/run python -m tools.settings_page

schema:
	@bin/cassiashift schema > docs/manifest.schema.json

examples:
	@tools/run python -m tools.examples

# Explores more seeds than the tests do.
explore:
	@tools/run python -m tools.explore_consensus --seeds $(SEEDS)
	@SEEDS=$(SEEDS) tools/run pytest tests/core/spread/test_spread_states.py

# Measures the slopes and writes docs/CAPACITY.md from them.
slopes:
	@tools/run python -m tools.slopes
