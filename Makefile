# The targets set up what they need: the environment is made if it is missing or its requirements have changed.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo sites test

# Folder of the bench's pages and programs, beside the repository; none of them is kept in the repository.
GIVEN := ../given/kit

$(VENV)/made: requirements.txt requirements-lab.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

# Twelve fronts and twelve caches for half a minute; seven in ten fronts are killed at once.
demo: $(VENV)/made
	$(PYTHON) -m quincepier lab fleet experiments/demo.yaml --report demo.html

# Runs tests in parallel, one process for each core, at most ten; WORKERS=0 runs them one after the other.
# PACKAGE=consensus runs the tests of one package (tests/packages.py). OPTIONS: further arguments of pytest, such as
# OPTIONS='-m "not fleet"'.
WORKERS := auto
SIDE_BY_SIDE := -n $(WORKERS) --maxprocesses 10 --dist loadgroup --no-loadscope-reorder

test: $(VENV)/made
	$(PYTHON) -m pytest -q -p no:cacheprovider $(SIDE_BY_SIDE) $(if $(PACKAGE),--package $(PACKAGE)) $(OPTIONS)

# Copies what the bench needs beside our own deployments: its wire vocabulary, its measured values and its faults.
sites:
	@test -d $(GIVEN)/more/mass/other || \
	  { echo "make sites: $(GIVEN) is not there: lay the bench's kit beside the repository" >&2; exit 2; }
	cp $(GIVEN)/more/mass/other/real.json $(GIVEN)/more/mass/other/wire.json deploy/sites/
	cat $(GIVEN)/more/mass/other/unlock.txt $(GIVEN)/more/mass/unlock.txt > deploy/sites/unlock.txt
	chmod u+w deploy/sites/real.json deploy/sites/wire.json
