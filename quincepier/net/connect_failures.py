"""Classifies failed connects to caches: which counter they add to, and whether the machine is absent."""

from __future__ import annotations

from quincepier.checks import Checks
from quincepier.net.sockets import LOCAL_ERRORS, UNREACHABLE_ERRORS, ConnectFailedError


def count_connect_failure(error: OSError, checks: Checks, host: str) -> bool:
    """Count a failed connect; return whether it shows that the machine is not there.

    Args:
        error: Why the connect failed.
        checks: The front's counters and events.
        host: The machine's id, for the log.
    """
    match error:
        case ConnectFailedError():
            checks.count("cache_connections_failed_all_addresses")
            return error.is_absent
        case TimeoutError():
            checks.count("cache_connect_timeouts")
            return True
        case ConnectionRefusedError():
            checks.count("cache_connections_refused")
            return True
    if error.errno in LOCAL_ERRORS:
        checks.event("cache_connect_failed_local_resources", f"{host}: {error}")
        return False
    if error.errno in UNREACHABLE_ERRORS:
        checks.count("cache_connections_unreachable")
        return True
    checks.count("cache_connections_reset")
    return False
