"""The routing policy: all decisions on a request (docs/design.md).

It does no I/O, reads no clock, and draws random numbers from its seed alone, so the same events always give
the same actions. `router.py` is the entry point.
"""

from quincepier.policy.router import NEVER_RAN, Router

__all__ = ["NEVER_RAN", "Router"]
