"""The laboratory: reproducible experiments that show the effect of a change.

It simulates whole deployments of many decision modules in virtual time, injects faults on a schedule, checks
the five rules from the machines' and the clients' observations, and compares variants paired by seed. `serve`
never imports it. It makes no decisions for a front and shares no code with one except the decision module
under test. Read `experiment.py` first, then `world.py`.
"""
