"""Runs the failure detector on the event loop's clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from quincepier import clock
from quincepier.checks import Checks
from quincepier.membership import Action, FailureDetector, MemberRecord, ProbeIntervals

MIN_TICK_INTERVAL_NS = 5 * clock.MS


class DetectorActor:
    """Passes ticks and datagrams to the failure detector and performs its actions."""

    def __init__(self, intervals: ProbeIntervals, perform: Callable[[Action], None], checks: Checks) -> None:
        self._intervals = intervals
        self._perform = perform
        self._checks = checks
        self._detector: FailureDetector | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._last_tick_ns = clock.now()

    def start(self, detector: FailureDetector, now_ns: int) -> None:
        """Starts to run a detector that was created at `now_ns`."""
        self._detector = detector
        self._last_tick_ns = now_ns
        self._on_timer()

    def leave(self) -> None:
        """Announces through the detector that this front leaves, and stops the detector."""
        if self._timer is not None:
            self._timer.cancel()
        if self._detector is None:
            return
        try:
            self._perform_all(self._detector.leave(clock.now()))
        except Exception as error:  # noqa: BLE001 - a defect must not keep the front from draining
            self._log_defect(error)
        self._detector = None

    @property
    def is_running(self) -> bool:
        """Whether a detector is running."""
        return self._detector is not None

    def record_of(self, name: str) -> MemberRecord | None:
        """Returns the record of a member; None if the member is unknown."""
        return self._detector.record_of(name) if self._detector is not None else None

    def records(self) -> Collection[MemberRecord]:
        """Returns the records of all other members."""
        return self._detector.records() if self._detector is not None else ()

    def on_datagram(self, data: bytes) -> None:
        """Handles a datagram."""
        detector = self._detector
        if detector is None:
            return
        try:
            if clock.now() - self._last_tick_ns > self._max_tick_interval_ns:
                # After a process pause the detector must detect it before it handles the queued datagrams.
                self._tick(detector)
            rejected = detector.rejected_count
            self._perform_all(detector.on_datagram(clock.now(), data))
            if detector.rejected_count != rejected:
                self._checks.count("peer_datagrams_rejected")
        except Exception as error:  # noqa: BLE001 - a defect must not end the socket
            self._log_defect(error)

    def merge_full_state(self, data: bytes) -> None:
        """Merges another member's full state."""
        detector = self._detector
        if detector is None:
            return
        rejected = detector.rejected_count
        self._perform_all(detector.on_full_state(clock.now(), data))
        if detector.rejected_count != rejected:
            self._checks.count("peer_full_states_rejected")

    def encode_full_state(self) -> bytes:
        """Returns this front's full state; empty if no detector is running."""
        return self._detector.encode_full_state(clock.now()) if self._detector is not None else b""

    @property
    def _max_tick_interval_ns(self) -> int:
        return self._intervals.probe_interval_ns + self._intervals.pause_threshold_ns

    def _on_timer(self) -> None:
        detector = self._detector
        if detector is None:
            return
        try:
            now_ns = self._tick(detector)
            wait_ns = max(detector.next_tick_ns - now_ns, MIN_TICK_INTERVAL_NS)
        except Exception as error:  # noqa: BLE001 - a defect must not end the ticks
            self._log_defect(error)
            wait_ns = self._intervals.probe_interval_ns
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ns / clock.SECOND, self._on_timer)

    def _tick(self, detector: FailureDetector) -> int:
        now_ns = clock.now()
        self._last_tick_ns = now_ns
        self._perform_all(detector.on_tick(now_ns))
        return now_ns

    def _perform_all(self, actions: list[Action]) -> None:
        for action in actions:
            self._perform(action)

    def _log_defect(self, error: Exception) -> None:
        self._checks.exception("peer_network_exception", error)
