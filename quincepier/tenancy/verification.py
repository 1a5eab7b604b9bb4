"""Both homes of a tenant compared in the same seconds: it passes, waits or fails, with reasons.

Shares of a moved tenant at the new home against the old, as differences with an interval on each side
(non-inferiority; Schuirmann 1987). Worth is taken as shares of equal requests and the variance twice, since
requests of one second share their fate. A fail wants far more certainty than a pass: it is looked for often.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from quincepier.rules import Observations, ServiceStatistics
from quincepier.tenancy.section import DEFAULT_SHARD_NAME, MS

Z_PASS, Z_FAIL = 1.645, 4.0  # one-sided: 5 in 100 by chance, and one in 30,000
LEAST = 200  # answers at each home
LATE_MORE, REFUSED_MORE, MISSED_MORE = 0.02, 0.02, 0.10  # shares that may be worse at the new home
FILLS_MORE, FILLS_LEAST = 0.3, 0.05  # of the old home's fills an answer, and at least of answers
SPREAD = 2.0


class Verdict(Enum):
    PASS = "passes"
    WAIT = "waits"
    FAIL = "fails"


@dataclass(slots=True, frozen=True)
class Finding:
    verdict: Verdict
    reasons: tuple[str, ...]

    @property
    def line(self) -> str:
        return f"{self.verdict.value}: {'; '.join(self.reasons)}"[:200]


def total(seen: Observations, tenant: str, shard: str | None = None) -> ServiceStatistics:
    """The sum over all reports, of a tenant at a shard; of all shards with None. In reports the common home
    is named by its word, as "" stands for all.
    """
    name = "" if shard is None else shard or DEFAULT_SHARD_NAME
    rows = (s for r in seen.report_by_front.values() for s in r.service_statistics)
    return _sum(tenant, name, (s for s in rows if (s.tenant, s.shard) == (tenant, name)))


def _sum(tenant: str, shard: str, rows: Iterable[ServiceStatistics]) -> ServiceStatistics:
    a = w = t = r = h = f = 0.0
    for s in rows:
        a, w, t, r, h, f = (
            a + s.responses,
            w + s.requested_weight,
            t + s.on_time_weight,
            r + s.rejected,
            h + s.hits,
            f + s.origin_fetches,
        )
    return ServiceStatistics(tenant, shard, int(a), w, t, int(r), int(h), int(f))


def late(s: ServiceStatistics) -> float:
    return 1 - s.on_time_weight / s.requested_weight if s.requested_weight > 0 else 0.0


def worse(bad: float, n: int, than: float, of: int, margin: float) -> Verdict:
    """Whether a share of `n` is surely no worse than another by more than the margin, surely worse, or
    not to be told yet. `of` 0: the other is known exactly.
    """
    variance = SPREAD * (_variance(bad, n) + (_variance(than, of) if of else 0.0))
    more, error = bad - than, math.sqrt(variance)
    if more - Z_FAIL * error > margin:
        return Verdict.FAIL
    return Verdict.PASS if more + Z_PASS * error <= margin else Verdict.WAIT


def _variance(share: float, n: int) -> float:
    p = (share * n + 1) / (n + 2)  # none seen is not none
    return p * (1 - p) / max(n, 1)


def in_same_seconds(seen: Observations) -> bool:
    """Whether all counts are of seconds in which the newest version was in force."""
    return all(r.window_ms * MS <= seen.active_for_ns for r in seen.report_by_front.values())


def compare(seen: Observations, tenant: str, old: str, new: str, warm: bool) -> Finding:
    """`warm`: hits and fills are compared too, which are worse while keys are still new there."""
    here, there = total(seen, tenant, new), total(seen, tenant, old)
    if here.responses < LEAST or there.responses < LEAST:
        few = f"{here.responses} and {there.responses} answers, {LEAST} at each home wanted"
        return Finding(Verdict.WAIT, (few,))
    n, of = here.responses, there.responses
    tests = [
        ("in time", late(here), late(there), LATE_MORE),
        ("refused", here.rejected / n, there.rejected / of, REFUSED_MORE),
    ]
    if warm:
        rate = there.origin_fetches / of
        tests += [
            ("not held", 1 - here.hits / n, 1 - there.hits / of, MISSED_MORE),
            ("fills", min(here.origin_fetches / n, 1.0), min(rate, 1.0), max(FILLS_MORE * rate, FILLS_LEAST)),
        ]
    return _worst([(what, worse(a, n, b, of, m), a, b) for what, a, b, m in tests])


def unharmed(seen: Observations, names: Iterable[str]) -> Finding:
    """Worth in time of tenants ("" for all) against what is usual for each; not known is not judged."""
    found = []
    for name in names:
        row, usual = total(seen, name), seen.baseline_on_time_ratio_by_tenant.get(name)
        if usual is not None and row.responses >= LEAST:
            told = worse(late(row), row.responses, 1 - usual, 0, LATE_MORE)
            found.append((f"{name or 'all'} late", told, late(row), 1 - usual))
    return _worst(found) if found else Finding(Verdict.PASS, ("nothing usual known of others",))


def _worst(tests: list[tuple[str, Verdict, float, float]]) -> Finding:
    for verdict in (Verdict.FAIL, Verdict.WAIT):
        if bad := [f"{what} {a:.3f} against {b:.3f}" for what, v, a, b in tests if v is verdict]:
            return Finding(verdict, tuple(bad))
    return Finding(Verdict.PASS, tuple(f"{what} {a:.3f} against {b:.3f}" for what, _, a, b in tests))


def judge(seen: Observations, tenant: str, old: str, new: str) -> Finding:
    """All of it, at VERIFY. A home that nobody asks can't be compared: after the span that is a pass."""
    if not in_same_seconds(seen):
        return Finding(Verdict.WAIT, ("counts are not all of this version yet",))
    if seen.is_consistent is False:
        return Finding(Verdict.WAIT, ("fronts do not all decide alike",))
    others = unharmed(seen, sorted({*seen.baseline_on_time_ratio_by_tenant, ""} - {tenant}))
    if others.verdict is not Verdict.PASS:
        return others
    if seen.report_by_front and not total(seen, tenant, old).responses + total(seen, tenant, new).responses:
        return Finding(Verdict.PASS, ("nobody asked for anything of it",))
    both = compare(seen, tenant, old, new, True)
    if both.verdict is Verdict.PASS and seen.is_consistent is None:
        return Finding(Verdict.PASS, (*both.reasons, "whether all decide alike is not known"))
    return both
