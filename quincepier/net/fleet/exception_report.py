"""Reports an exception that must not end its actor: a counter, a line, and its traceback at debug level."""

from __future__ import annotations

from loguru import logger

from quincepier.checks import Checks


def report_exception(checks: Checks, event: str, error: Exception) -> None:
    """Report an exception that is a defect.

    Args:
        checks: Counts the event and logs the first lines of it.
        event: Name of the event.
        error: The exception.
    """
    checks.event(event, f"{type(error).__name__}: {error}")
    logger.opt(exception=error).bind(event=event).debug("{} with its traceback", event)
