"""Admission of client connections: caps by network, and which connections are closed for new ones.

The package decides; it never closes a socket, reads a clock or looks at a request. Start with `registry.py`;
docs/idle.md describes the whole.
"""

from quincepier.clients.ready_queue import ReadyQueue
from quincepier.clients.registry import AdmissionResult, ConnectionLimits, ConnectionRegistry

__all__ = ["AdmissionResult", "ConnectionLimits", "ConnectionRegistry", "ReadyQueue"]
