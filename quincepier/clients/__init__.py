"""Who of the clients' connections may stay: caps by network, and who is closed first for a new one.

It decides on admission and on who goes; it never closes a socket, reads a clock or judges a request. Read
`registry.py`; docs/idle.md tells the whole.
"""

from quincepier.clients.ready_queue import ReadyQueue
from quincepier.clients.registry import AdmissionResult, ConnectionLimits, ConnectionRegistry

__all__ = ["AdmissionResult", "ConnectionLimits", "ConnectionRegistry", "ReadyQueue"]
