"""Counts for a front's reports in a sliding window: commands by machine, service by tenant and shard.

The window is reset with each version, so that all counts belong to one version. Memory is bounded: each
second has at most `MAX_ROWS` pairs of tenant and shard and `MAX_HOSTS` machines. Requests of further pairs
are counted only in the totals of all tenants.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec.structs import replace

from quincepier import clock
from quincepier.interface import CacheStatus, Idempotency, RequestClass
from quincepier.memory.open_requests import OpenAttempt, OpenRequest
from quincepier.rules import FrontReport, HostCount, ServiceStatistics, TenantAge, TenantCount

MAX_ROWS = 256  # pairs of tenant and shard
MAX_HOSTS = 4096
MAX_EJECTED_HOSTS = 512
DEFAULT_SHARD = "common"  # name of the default shard in reports, where "" stands for all shards
ORIGIN_FETCHES = (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN)
UNSAFE_AGE_LIMIT_NS = 3600 * clock.SECOND  # after it, the time of an unsafe request is removed
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class RowKey(NamedTuple):
    """A tenant at a shard; "" stands for all tenants or all shards."""

    tenant: str
    shard: str


ALL_REQUESTS = RowKey("", "")


@dataclass(slots=True)
class ServiceCounts:
    """The counts of one tenant and shard, with the fields of `ServiceStatistics`."""

    responses: int = 0
    requested_weight: float = 0.0
    on_time_weight: float = 0.0
    rejected: int = 0
    hits: int = 0
    origin_fetches: int = 0

    def add(self, other: ServiceCounts) -> None:
        """Add the counts of another row."""
        self.responses += other.responses
        self.requested_weight += other.requested_weight
        self.on_time_weight += other.on_time_weight
        self.rejected += other.rejected
        self.hits += other.hits
        self.origin_fetches += other.origin_fetches

    def to_statistics(self, key: RowKey) -> ServiceStatistics:
        """Return the counts as an entry of a report."""
        return ServiceStatistics(
            tenant=key.tenant,
            shard=key.shard,
            responses=self.responses,
            requested_weight=self.requested_weight,
            on_time_weight=self.on_time_weight,
            rejected=self.rejected,
            hits=self.hits,
            origin_fetches=self.origin_fetches,
        )


@dataclass(slots=True)
class _Second:
    """Counts of one second."""

    started_at_ns: int
    commands_by_machine: Counter[int] = field(default_factory=Counter)
    counts_by_row: dict[RowKey, ServiceCounts] = field(
        default_factory=lambda: {ALL_REQUESTS: ServiceCounts()}
    )


class ReportCounters:
    """Counters of one front. Times are in nanoseconds of `clock.now`.

    Args:
        classes: Request classes by number, as in the settings.
        now_ns: The current time.
        window_s: The maximum length of the window in seconds.
    """

    def __init__(self, classes: tuple[RequestClass, ...], now_ns: int, window_s: int) -> None:
        self._classes = classes
        self._window_ns = window_s * clock.SECOND
        self._seconds: deque[_Second] = deque([_Second(now_ns)], window_s + 1)
        self._last_unsafe_at_ns: dict[RowKey, int] = {}

    def reset(self, now_ns: int) -> None:
        """Reset the window, as the front decides by another version from now on."""
        self._seconds.clear()
        self._seconds.append(_Second(now_ns))

    def on_command_queued(self, attempt: OpenAttempt, now_ns: int) -> None:
        """Count a command that is sent."""
        commands = self._second_at(now_ns).commands_by_machine
        if attempt.cache in commands or len(commands) < MAX_HOSTS:
            commands[attempt.cache] += 1
        request = attempt.request
        if request.tenant and self._is_unsafe(request):
            key = RowKey(request.tenant, request.shard or DEFAULT_SHARD)
            if key in self._last_unsafe_at_ns or len(self._last_unsafe_at_ns) < MAX_ROWS:
                self._last_unsafe_at_ns[key] = now_ns

    def on_response(self, request: OpenRequest, status: int, now_ns: int) -> None:
        """Count the final response of a request by its HTTP status and time."""
        request_class = self._classes[request.class_index]
        is_on_time = status == HTTP_OK and now_ns - request.received_at_ns <= request_class.on_time
        for counts in self._rows_of(request, now_ns):
            counts.responses += 1
            counts.requested_weight += request_class.worth
            counts.on_time_weight += request_class.worth if is_on_time else 0.0
            counts.rejected += status == HTTP_UNAVAILABLE

    def on_attempt_completed(self, request: OpenRequest, cache_status: CacheStatus, now_ns: int) -> None:
        """Count the cache status of a completed attempt."""
        if cache_status is CacheStatus.HIT:
            for counts in self._rows_of(request, now_ns):
                counts.hits += 1
        elif cache_status in ORIGIN_FETCHES:
            for counts in self._rows_of(request, now_ns):
                counts.origin_fetches += 1

    def report(
        self,
        now_ns: int,
        base: FrontReport,
        requests: Iterable[OpenRequest],
        ejected_hosts: Iterable[str],
        host_by_number: dict[int, str],
    ) -> FrontReport:
        """Return a report with the counts of the window and the attempts and requests that are open now.

        Args:
            now_ns: The current time.
            base: The report without counts.
            requests: Open requests.
            ejected_hosts: Machines that outlier detection has ejected.
            host_by_number: Host ids by the router's numbers.
        """
        self._drop_old(now_ns)
        commands, counts_by_row = self._sum_window()
        attempts, unsafe_requests = self._count_open(requests)
        return replace(
            base,
            window_ms=max((now_ns - self._seconds[0].started_at_ns) // clock.MS, 0),
            open_attempts=_host_counts(attempts, host_by_number),
            open_unsafe_requests=tuple(
                TenantCount(*key, total) for key, total in list(unsafe_requests.items())[:MAX_ROWS]
            ),
            last_unsafe_request_ages=tuple(
                TenantAge(*key, (now_ns - sent_at_ns) // clock.MS)
                for key, sent_at_ns in self._last_unsafe_at_ns.items()
            ),
            ejected_hosts=tuple(ejected_hosts)[:MAX_EJECTED_HOSTS],
            sent_commands=_host_counts(commands, host_by_number),
            service_statistics=tuple(
                counts.to_statistics(key) for key, counts in list(counts_by_row.items())[:MAX_ROWS]
            ),
        )

    def _is_unsafe(self, request: OpenRequest) -> bool:
        return self._classes[request.class_index].effect is not Idempotency.SAFE

    def _second_at(self, now_ns: int) -> _Second:
        last = self._seconds[-1]
        if now_ns - last.started_at_ns >= clock.SECOND:
            last = _Second(now_ns)
            self._seconds.append(last)
        return last

    def _rows_of(self, request: OpenRequest, now_ns: int) -> Iterator[ServiceCounts]:
        """Yield the counts to which a request adds: all requests, its tenant, its tenant at its shard."""
        counts_by_row = self._second_at(now_ns).counts_by_row
        yield counts_by_row[ALL_REQUESTS]
        for key in _row_keys(request):
            counts = counts_by_row.get(key)
            if counts is None and len(counts_by_row) < MAX_ROWS:
                counts = counts_by_row[key] = ServiceCounts()
            if counts is not None:
                yield counts

    def _drop_old(self, now_ns: int) -> None:
        while len(self._seconds) > 1 and now_ns - self._seconds[0].started_at_ns > self._window_ns:
            self._seconds.popleft()
        self._last_unsafe_at_ns = {
            key: sent_at_ns
            for key, sent_at_ns in self._last_unsafe_at_ns.items()
            if now_ns - sent_at_ns < UNSAFE_AGE_LIMIT_NS
        }

    def _sum_window(self) -> tuple[Counter[int], dict[RowKey, ServiceCounts]]:
        commands = Counter[int]()
        sum_by_row = dict[RowKey, ServiceCounts]()
        for second in self._seconds:
            commands.update(second.commands_by_machine)
            for key, counts in second.counts_by_row.items():
                sum_by_row.setdefault(key, ServiceCounts()).add(counts)
        return commands, sum_by_row

    def _count_open(self, requests: Iterable[OpenRequest]) -> tuple[Counter[int], Counter[RowKey]]:
        attempts = Counter[int]()
        unsafe_requests = Counter[RowKey]()
        for request in requests:
            has_open_attempt = False
            for attempt in request.attempts:
                if attempt.is_completed:
                    continue
                has_open_attempt = True
                attempts[attempt.cache] += 1
                if attempt.source >= 0 and attempt.source != attempt.cache:
                    attempts[attempt.source] += 1
            # A queued request counts too: it may still be sent by the version in force when it was received.
            is_open = has_open_attempt or not request.is_finished
            if is_open and request.tenant and self._is_unsafe(request):
                unsafe_requests[RowKey(request.tenant, request.shard or DEFAULT_SHARD)] += 1
        return attempts, unsafe_requests


def _row_keys(request: OpenRequest) -> tuple[RowKey, ...]:
    if not request.tenant and not request.shard:
        return ()
    at_shard = RowKey(request.tenant, request.shard or DEFAULT_SHARD)
    return (RowKey(request.tenant, ""), at_shard) if request.tenant else (at_shard,)


def _host_counts(total_by_machine: Counter[int], host_by_number: dict[int, str]) -> tuple[HostCount, ...]:
    return tuple(
        HostCount(host_by_number[number], total)
        for number, total in total_by_machine.items()
        if number in host_by_number
    )
