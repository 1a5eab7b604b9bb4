"""Log lines to standard error, without traces of variables: text, or one flat JSON object a line."""

from __future__ import annotations

import json
import sys
from typing import Any

from loguru import logger

TEXT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {message}"
FIELD_MOST = 500  # characters of a field's text


def flat(record: Any) -> str:
    """A record as JSON: `time` (RFC 3339), `level`, `event` (stable words), `fields` (texts and numbers).

    loguru's own `serialize` nests some twenty keys of the process and the source line, a kilobyte a line; its
    record is what is written here, less those. Lines without an event of their own have their text as the
    event.
    """
    extra = dict(record["extra"])
    extra.pop("flat", None)
    event = extra.pop("event", None)
    fields = {k: v if isinstance(v, int | float) else str(v)[:FIELD_MOST] for k, v in extra.items()}
    return json.dumps(
        {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": event or record["message"],
            "fields": fields,
        }
    )


def _flatten(record: Any) -> None:
    record["extra"]["flat"] = flat(record)


def set_up(form: str = "text") -> None:
    """Log lines from here on: `text` or `json`."""
    logger.remove()
    json_lines = form == "json"
    logger.configure(patcher=_flatten if json_lines else None)
    logger.add(
        sys.stderr,
        format="{extra[flat]}" if json_lines else TEXT,
        level="INFO",
        backtrace=False,
        diagnose=False,
        colorize=False,
    )
