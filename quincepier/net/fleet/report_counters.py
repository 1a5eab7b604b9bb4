"""What a front counts for its reports: commands by machine, answers by tenant and shard, over a sliding span.

The span begins anew with each version, so that counts are of one version alone. Bounded: `ROWS_MOST` pairs of
tenant and shard and `HOSTS_MOST` machines a second; what is beyond counts for all tenants together only.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from quincepier import clock
from quincepier.interface import CacheStatus, Idempotency, RequestClass
from quincepier.memory.open_requests import OpenAttempt, OpenRequest
from quincepier.rules import FrontReport, HostCount, ServiceStatistics, TenantAge, TenantCount

ROWS_MOST, HOSTS_MOST, ASIDE_MOST = 256, 4096, 512
COMMON = "common"  # in reports the word for the home of all who have no other, as "" stands for all
FILLS = (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN)
Key = tuple[str, str]


class Second:
    __slots__ = ("rows", "sent", "since")

    def __init__(self, since: int) -> None:
        self.since = since
        self.sent: Counter[int] = Counter()
        self.rows: dict[Key, list[float]] = {("", ""): [0.0] * 6}


class ReportCounters:
    """Times by the module's clock."""

    def __init__(self, classes: tuple[RequestClass, ...], now: int, span: int) -> None:
        """`span`: seconds that a report's counts are of at most."""
        self.classes, self.window_s = classes, span
        self.seconds: deque[Second] = deque([Second(now)], span + 1)
        self.last_unsafe_at_ns: dict[
            Key, int
        ] = {}  # when a request that may not be repeated was last sent on

    def reset(self, now: int) -> None:
        """Another version is decided by."""
        self.seconds.clear()
        self.seconds.append(Second(now))

    def _bucket_at(self, now: int) -> Second:
        last = self.seconds[-1]
        if now - last.since >= clock.SECOND:
            last = Second(now)
            self.seconds.append(last)
        return last

    def on_sent(self, attempt: OpenAttempt, now: int) -> None:
        second, r = self._bucket_at(now), attempt.request
        if attempt.cache in second.sent or len(second.sent) < HOSTS_MOST:
            second.sent[attempt.cache] += 1
        if r.tenant and self.classes[r.class_index].effect is not Idempotency.SAFE:
            key = (r.tenant, r.shard or COMMON)
            if key in self.last_unsafe_at_ns or len(self.last_unsafe_at_ns) < ROWS_MOST:
                self.last_unsafe_at_ns[key] = now

    def _rows_of(self, second: Second, r: OpenRequest) -> Iterable[list[float]]:
        yield second.rows["", ""]
        if r.tenant or r.shard:
            shard = r.shard or COMMON
            for key in ((r.tenant, ""), (r.tenant, shard)) if r.tenant else (("", shard),):
                row = second.rows.get(key)
                if row is None and len(second.rows) < ROWS_MOST:
                    row = second.rows[key] = [0.0] * 6
                if row is not None:
                    yield row

    def on_answered(self, r: OpenRequest, status: int, now: int) -> None:
        cls = self.classes[r.class_index]
        in_time = status == 200 and now - r.received_at_ns <= cls.on_time
        for row in self._rows_of(self._bucket_at(now), r):
            row[0] += 1
            row[1] += cls.worth
            row[2] += cls.worth if in_time else 0.0
            row[3] += status == 503

    def on_attempt_completed(self, r: OpenRequest, note: CacheStatus, now: int) -> None:
        if note is CacheStatus.HIT or note in FILLS:
            for row in self._rows_of(self._bucket_at(now), r):
                row[4 if note is CacheStatus.HIT else 5] += 1

    def report(
        self,
        now: int,
        about: FrontReport,
        requests: Iterable[OpenRequest],
        aside: Iterable[str],
        hosts: dict[int, str],
    ) -> FrontReport:
        """`about` with all that was counted, and what is open now."""
        while len(self.seconds) > 1 and now - self.seconds[0].since > self.window_s * clock.SECOND:
            self.seconds.popleft()
        sent, rows = Counter[int](), dict[Key, list[float]]()
        for second in self.seconds:
            sent.update(second.sent)
            for key, row in second.rows.items():
                rows[key] = [a + b for a, b in zip(rows[key], row, strict=True)] if key in rows else list(row)
        open_at, keyed = Counter[int](), Counter[Key]()
        for r in requests:
            out = 0
            for attempt in r.attempts:
                if not attempt.is_ended:
                    out += 1
                    open_at[attempt.cache] += 1
                    if attempt.source >= 0 and attempt.source != attempt.cache:
                        open_at[attempt.source] += 1
            # one that is held counts too: it may be sent on under the version that it came by
            if (
                (out or not r.is_finished)
                and r.tenant
                and self.classes[r.class_index].effect is not Idempotency.SAFE
            ):
                keyed[r.tenant, r.shard or COMMON] += 1
        self.last_unsafe_at_ns = {
            k: at for k, at in self.last_unsafe_at_ns.items() if now - at < 3600 * clock.SECOND
        }
        return FrontReport(
            about.front,
            about.incarnation,
            about.version_number,
            about.digest,
            about.is_cautious,
            max((now - self.seconds[0].since) // clock.MS, 0),
            tuple(HostCount(hosts[n], count) for n, count in open_at.items() if n in hosts),
            tuple(
                TenantCount(tenant, shard, count)
                for (tenant, shard), count in list(keyed.items())[:ROWS_MOST]
            ),
            tuple(TenantAge(t, s, (now - at) // clock.MS) for (t, s), at in self.last_unsafe_at_ns.items()),
            tuple(aside)[:ASIDE_MOST],
            tuple(HostCount(hosts[n], count) for n, count in sent.items() if n in hosts),
            tuple(_service(key, row) for key, row in list(rows.items())[:ROWS_MOST]),
            about.change_log_sequence,
        )


def _service(key: Key, row: list[float]) -> ServiceStatistics:
    return ServiceStatistics(*key, int(row[0]), row[1], row[2], int(row[3]), int(row[4]), int(row[5]))
