"""All decisions on a request (docs/design.md): no I/O, no clock, no chance but its seed. `router.py`."""

from quincepier.policy.parts import BOUND_START, WATCH, Attempt, Node, Request
from quincepier.policy.placement import CROWD
from quincepier.policy.router import Router

__all__ = ["BOUND_START", "CROWD", "WATCH", "Attempt", "Node", "Request", "Router"]
