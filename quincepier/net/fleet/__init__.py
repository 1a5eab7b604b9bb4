"""One front among those that agree on rule versions: its voter, its lease, its reports, what a version does.

It carries what the pure packages say between fronts, disk and router, and gives the router its endpoint list
and placements by the version that the front has adopted. It plans nothing itself: the planners do, at the
voter that leads. Read `node.py` first; docs/agreement.md.
"""
