"""All decisions on a request (docs/design.md): no I/O, no clock, no chance but its seed. See `router.py`."""

from quincepier.policy.router import Router

__all__ = ["Router"]
