# All set-up is done by these: the environment is made where it is not there or its lists have changed.
VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: demo test

$(VENV)/made: requirements.txt requirements-lab.txt requirements-dev.txt
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

# Twelve fronts and twelve caches for half a minute; seven in ten fronts are killed at once.
demo: $(VENV)/made
	$(PYTHON) -m quincepier lab fleet experiments/demo.yaml --report demo.html

test: $(VENV)/made
	$(PYTHON) -m pytest -q -p no:cacheprovider
