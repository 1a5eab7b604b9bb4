# All set-up is done by these: the environment is made where it is not there or its lists have changed.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo sites test

# Where the bench's pages and programs lie, beside the repository; nothing of it is kept in here.
GIVEN := ../given/kit

$(VENV)/made: requirements.txt requirements-lab.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

# Twelve fronts and twelve caches for half a minute; seven in ten fronts are killed at once.
demo: $(VENV)/made
	$(PYTHON) -m quincepier lab fleet experiments/demo.yaml --report demo.html

# Side by side, a process for each core and ten at most; WORKERS=0: one after the other. PACKAGE=consensus runs one
# package's tests alone (tests/packages.py); OPTIONS: more words for pytest, such as OPTIONS='-m "not fleet"'.
WORKERS := auto
SIDE_BY_SIDE := -n $(WORKERS) --maxprocesses 10 --dist loadgroup --no-loadscope-reorder

test: $(VENV)/made
	$(PYTHON) -m pytest -q -p no:cacheprovider $(SIDE_BY_SIDE) $(if $(PACKAGE),--package $(PACKAGE)) $(OPTIONS)

# What the bench needs beside the deployments of our own: the words of its wire, its figures, its troubles.
sites:
	@test -d $(GIVEN)/more/mass/other || \
	  { echo "make sites: $(GIVEN) is not there: lay the bench's kit beside the repository" >&2; exit 2; }
	cp $(GIVEN)/more/mass/other/real.json $(GIVEN)/more/mass/other/wire.json deploy/sites/
	cat $(GIVEN)/more/mass/other/unlock.txt $(GIVEN)/more/mass/unlock.txt > deploy/sites/unlock.txt
	chmod u+w deploy/sites/real.json deploy/sites/wire.json
