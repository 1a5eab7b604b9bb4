"""Spans in which the attempts of each request ran at machines, as the machines recorded them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

OPEN_ATTEMPT_SPAN_NS = 1_000_000_000  # assumed length of an attempt without a recorded end


@dataclass(slots=True)
class AttemptSpan:
    """One attempt at a machine, in ns: from the whole command read to the end; `until` 0: no end recorded."""

    since: int
    until: int = 0


class AttemptSpans:
    """The spans of all attempts, by request."""

    def __init__(self) -> None:
        self._by_serial: dict[int, AttemptSpan] = {}
        self._by_request: dict[int, list[AttemptSpan]] = defaultdict(list)

    def on_started(self, when: int, request: int, serial: int) -> None:
        """Record that a machine has read the whole command of an attempt; `when` in ns."""
        span = self._by_serial[serial] = AttemptSpan(when)
        self._by_request[request].append(span)

    def on_closed(self, when: int, serial: int) -> None:
        """Record that an attempt was answered or cancelled, or that its connection closed; `when` in ns."""
        span = self._by_serial.get(serial)
        if span is not None:
            span.until = when

    def overlapping(self) -> Iterator[tuple[int, int, int]]:
        """Yield each overlap of two attempts of one request: the request, start and end of the overlap."""
        for request, spans in self._by_request.items():
            for earlier, later in pairwise(spans):
                if not earlier.until or earlier.until > later.since:
                    end = min(span.until or later.since + OPEN_ATTEMPT_SPAN_NS for span in (earlier, later))
                    yield request, later.since, end
