"""What the measurements share: CPU and memory of a process, by what the system tells."""

from __future__ import annotations

import os
from pathlib import Path


def cpu_of(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_of(pid: int) -> int:
    """Bytes that a process has resident."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
