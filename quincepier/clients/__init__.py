"""Who of the clients' connections may stay: caps by network, and who is closed first for a new one.

It decides on admission and on who goes; it never closes a socket, reads a clock or judges a request. Read
`registry.py`; docs/idle.md tells the whole.
"""

from quincepier.clients.registry import Caps, ConnectionRegistry, Verdict
from quincepier.clients.turns import Turns

__all__ = ["Caps", "ConnectionRegistry", "Turns", "Verdict"]
