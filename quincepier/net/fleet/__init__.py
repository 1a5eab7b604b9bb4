"""One front among those that settle things together: voter or follower, its reports, its leases, its effects.

It carries what the pure parts say between fronts, disk and decision module, and gives the module its list
and homes by the rule version in force. It never decides a step itself: the planners do, at the voter that
leads. Read `fleet.py` first; docs/agreement.md.
"""
