"""Plays an experiment with real processes: fronts run as in service, everything around them is simulated.

`rig.py` supervises the processes and injects faults; `relay.py` is the network between them, `standins.py`
runs the stand-in machines and the change log, `load.py` generates client load, and `evidence.py` turns the
notes of all processes into a verdict. Fronts import none of it. Read `rig.py` first.
"""
