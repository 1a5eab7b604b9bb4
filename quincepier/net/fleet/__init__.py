"""The agreement on rule versions at one front: its voter, its lease, its reports, the effects of a version.

The package connects the packages without I/O (`consensus`, `rules`, `maintenance`, `tenancy`) to the network,
the disk and the router, and gives the router its endpoint list and placements by the version that the front
has adopted. Changes are planned by the planners of those packages, at the voter that leads. Start with
`node.py`; see also docs/agreement.md.
"""
