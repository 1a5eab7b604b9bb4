"""Logs an exception that an actor of the peer network survives, with a short traceback."""

from __future__ import annotations

import traceback
from pathlib import PurePath

from quincepier.checks import Checks

MAX_FRAMES = 3  # innermost calls that are logged


def log_defect(checks: Checks, event: str, error: BaseException) -> None:
    """Counts and logs an exception, with the innermost calls of its traceback in one line."""
    calls = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    places = [f"{PurePath(call.filename).name}:{call.lineno} {call.name}" for call in reversed(calls)]
    checks.event(event, f"{type(error).__name__}: {error}; at {', '.join(places)}")
