VENV = .venv
PYTHON = $(VENV)/bin/python
DEPS = $(VENV)/.installed

.PHONY: install test codestyle format demo demo-check chaos soak bench bench-capacity decisions clean

# Seeds of the soak: one, or a range.
SEEDS = 101-150

install: $(DEPS)

$(DEPS): pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(DEPS)

demo: install
	$(PYTHON) -m demo.run

demo-check: install
	$(PYTHON) -m demo.run --check

test: install
	$(PYTHON) .ci/run_tests.py

codestyle: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 .

format: install
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

chaos: install
	CHAOS_SEEDS=40 $(PYTHON) -m nose2 -s tests -t . -v tests.test_chaos

soak: install
	$(PYTHON) -m soak --seeds $(SEEDS)

bench: install
	$(PYTHON) -m bench.traces_report

decisions: install
	$(PYTHON) -m bench.decisions.page

bench-capacity: install
	$(PYTHON) -m bench.capacity_page

clean:
	rm -rf $(VENV) .run
