"""An experiment played by real processes: fronts as in service, the net and all else between them stood in.

`rig.py` starts, strikes and ends; `relay.py` is the net, `standins.py` the machines and the change log,
`load.py` the clients, `evidence.py` the judge's ear. None of it is imported by a front. Read `rig.py` first.
"""
