"""The laboratory: what a change does, shown by experiments that are the same each time.

It plays whole deployments of many decision modules in virtual time, with faults on a schedule, judges the
rules from the machines' and the clients' side, and compares variants paired by seed. It is never needed by
`serve`, decides nothing for a front and shares no code with one but the module under test. Read
`experiment.py`, then `world.py`.
"""
