"""Imports the event loop without OpenSSL, which takes over 4 MB of resident memory.

A front speaks no TLS. `asyncio`, `uvloop` and `hashlib` load OpenSSL as they are imported; `asyncio` and
`hashlib` do without if they can't, and `uvloop` only names its classes and constants. A later import of `ssl`
loads it as usual.
"""

from __future__ import annotations

import importlib
import sys
from types import ModuleType


class _UnavailableError(Exception):
    """Stands for every class of `ssl` while `uvloop` is imported."""


class _SslPlaceholder(ModuleType):
    """Has a value for every name of `ssl`: a number for a constant, and a class for a class."""

    def __getattr__(self, name: str) -> int | type[_UnavailableError]:
        return -1 if name.isupper() else _UnavailableError


def import_event_loop() -> None:
    """Import `asyncio`, `hashlib` and `uvloop` without OpenSSL; no effect where it is loaded already."""
    if "ssl" in sys.modules or "_hashlib" in sys.modules:
        return
    modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]
    try:
        modules["ssl"] = modules["_hashlib"] = None  # an import raises ImportError
        importlib.import_module("hashlib")
        importlib.import_module("asyncio")
        modules["ssl"] = _SslPlaceholder("ssl")
        importlib.import_module("uvloop")
    finally:
        del modules["ssl"], modules["_hashlib"]
