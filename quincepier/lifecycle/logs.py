"""Logging to standard error, as text or as one flat JSON object a line; tracebacks show no variables."""

from __future__ import annotations

import json
import sys
from typing import Any

from loguru import logger

TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {message}"
MAX_FIELD_CHARACTERS = 500  # longer values of fields are cut


def to_json_line(record: Any) -> str:
    """Return a record as JSON: `time` (RFC 3339), `level`, `event` (a stable name) and `fields`.

    loguru's own `serialize` adds some twenty nested keys about the process and the source line, a kilobyte a
    line; they are left out here. A record without the extra key `event` has its message as the event.
    """
    extra = dict(record["extra"])
    extra.pop("flat", None)
    event = extra.pop("event", None)
    fields = {k: v if isinstance(v, int | float) else str(v)[:MAX_FIELD_CHARACTERS] for k, v in extra.items()}
    return json.dumps(
        {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": event or record["message"],
            "fields": fields,
        }
    )


def _add_json_line(record: Any) -> None:
    record["extra"]["flat"] = to_json_line(record)


def configure_logging(form: str = "text") -> None:
    """Configure the format of log lines from now on: `text` or `json`."""
    logger.remove()
    json_lines = form == "json"
    logger.configure(patcher=_add_json_line if json_lines else None)
    logger.add(
        sys.stderr,
        format="{extra[flat]}" if json_lines else TEXT,
        level="INFO",
        backtrace=False,
        diagnose=False,
        colorize=False,
    )
