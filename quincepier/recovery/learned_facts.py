"""What a module has learned, told fact by fact, and how much of it still counts after a start.

The rule: a fact comes back as if it had been learned at its own time, so it fades by the clock that it always
fades by; past its bound it is not taken, and what was taken is taken back when its bound passes. Facts that
guard a rule (cold starts, purges, drains, machines set aside) only make a front more careful; where their age
is not known they count as new. That a machine is well, warm or quick is never recalled.

Nor is the bound: what is not known to be held counts as a fill, so a bound that was low before a start sheds
hits after it (docs/recovery.md).
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Protocol, TypeVar

from quincepier import interface as io
from quincepier.interface import EndpointState

SECOND = 1_000_000_000
# Bounds of age, ns; a cold start and a purge have those that the settings give them.
CLASS_MOST, WORK_MOST = 600 * SECOND, 60 * SECOND
PACE_MOST, ASIDE_MOST, LEAVING_MOST = 30 * SECOND, 8 * SECOND, 30 * SECOND
CLASS_SEEN = 4  # answers that a recalled mean counts as, however many it was made of
USUAL_SEEN = 21  # those of a recalled usual time: just so many that its least counts
PACE_SIGNS = 2.0  # signs that a recalled pace counts as at most; it is recalled where it says slow alone
OWN = 50  # answers of its own after which nothing of a recalled mean is left that matters


class Paced(Protocol):
    """Signs of how slow a machine is: their sum and number as of a time; they count half after `fade` ns."""

    slowed: float
    signs: float
    at: int

    @property
    def fade(self) -> int: ...


class Known(Protocol):
    """A machine as a module knows it, as far as it is kept; what a time is not known of is 0."""

    machine: io.Endpoint
    cold_at: int
    suspect: bool
    leaving: int

    @property
    def pace(self) -> Paced: ...


Machine = TypeVar("Machine", bound=Known)


class Knows(Protocol[Machine]):
    """What a module knows, as far as it is kept; `quincepier.policy.Router` is one."""

    now: int
    began: int
    born: int
    bound: int
    s: io.Settings
    work: list[float]
    unseen: list[float]
    samples: Counter[int]
    usual: dict[tuple[int, bool, bool], tuple[float, int, float, int]]
    borne: dict[int, tuple[float, int]]
    nodes: dict[int, Machine]
    purges: OrderedDict[tuple[int, int], int]
    lapses: list[tuple[int, Callable[[], None]]]  # when, and what is taken back then

    @property
    def borne_fade(self) -> int: ...  # ns after which served work counts half

    @property
    def pace_easy(self) -> float: ...

    def purged(self, group: int, obj: int, ago: int) -> None: ...

    def doubt(self, node: Machine) -> None: ...


def export_facts(router: Knows[Machine]) -> Iterator[io.Learned]:
    """All that counts after a start, small parts, so that a shell may take them in slices of time."""
    now = router.now
    yield io.LearnedFetchLimit(router.bound, 0)
    for cls, seen in list(router.samples.items()):
        yield io.LearnedTransferTime(cls, router.work[cls], seen, 0)
    for (cls, held, told), (mean, seen, least, at) in list(router.usual.items()):
        yield io.LearnedLatency(cls, held, told, mean, seen, least, now - at)
    for kind, (work, at) in list(router.borne.items()):
        yield io.LearnedServedWork(kind, work, now - router.born, now - at)
    for node in list(router.nodes.values()):
        found = node.cold_at > node.machine.up_since  # by its failing, which no list told
        leaving = node.machine.state is not EndpointState.READY or node.leaving > now
        fact = io.LearnedEndpoint(
            node.machine.cache, node.pace.slowed, node.pace.signs, now - node.pace.at if node.pace.at else 0,
            now - node.cold_at if found else -1, 0 if node.suspect else -1, 0 if leaving else -1,
        )  # fmt: skip
        if fact.signs > 0.1 or found or node.suspect or leaving:
            yield fact
    for (of_group, name), at in list(router.purges.items()):
        yield io.LearnedPurge(name if of_group else 0, 0 if of_group else name, now - at)


def restore_facts(router: Knows[Machine], facts: Iterable[io.Learned], age: int | None) -> int:
    """Take facts that were told `age` nanoseconds ago (None: nobody knows). Returns how many counted."""
    taken, lapses = 0, list[tuple[int, Callable[[], None]]]()
    for fact in facts:
        if age is None and not isinstance(fact, io.LearnedEndpoint | io.LearnedPurge):
            continue
        old = fact.ago + (age or 0)
        match fact:
            case io.LearnedTransferTime(cls) if old < CLASS_MOST and cls < len(router.work):
                if not router.samples[cls]:
                    router.work[cls], router.samples[cls] = fact.mean, min(fact.seen, CLASS_SEEN)
                    undo = partial(_forget_class, router, cls, router.samples[cls])
                    lapses.append((router.now + CLASS_MOST - old, undo))
                    taken += 1
            case io.LearnedLatency(cls, held, told) if old < CLASS_MOST and cls < len(router.work):
                key, seen = (cls, held, told), min(fact.seen, USUAL_SEEN)
                if key not in router.usual:
                    router.usual[key] = (fact.mean, seen, fact.least, router.now - old)
                    undo = partial(_forget_usual, router, key, seen)
                    lapses.append((router.now + CLASS_MOST - old, undo))
                    taken += 1
            case io.LearnedServedWork(kind, work, span) if old < WORK_MOST:
                if kind not in router.borne:
                    router.borne[kind] = work, router.now - old
                    began, router.born = router.began, min(router.born, router.now - old - span)
                    undo = partial(_forget_work, router, kind, work, router.now - old, began)
                    lapses.append((router.now + WORK_MOST - old, undo))
                    taken += 1
            case io.LearnedEndpoint(cache) if cache in router.nodes:
                taken += _machine(router, router.nodes[cache], fact, age, lapses)
            case io.LearnedPurge(group, obj) if old <= router.s.purge_settles + 2 * SECOND:
                router.purged(group, obj, old if age is not None else 0)
                taken += 1
    router.lapses = sorted([*router.lapses, *lapses], key=lambda lapse: lapse[0])
    return taken


def _machine(
    router: Knows[Machine],
    node: Machine,
    fact: io.LearnedEndpoint,
    age: int | None,
    lapses: list[tuple[int, Callable[[], None]]],
) -> bool:
    now, known, before = router.now, age or 0, (node.cold_at, node.suspect, node.leaving, node.pace.signs)
    since = fact.cold_ago + known if age is not None else 0
    if fact.cold_ago >= 0 and since < max(router.s.cold_time, router.s.parent_cold_time):
        node.cold_at = max(node.cold_at, now - since, 1)  # never earlier than the list tells
    if 0 <= fact.aside_ago + known <= ASIDE_MOST and fact.aside_ago >= 0:  # one request tries it
        router.doubt(node)
    if fact.leaving_ago >= 0 and (left := LEAVING_MOST - fact.leaving_ago - known) > 0:
        node.leaving = now + left  # until the log names it anew
    old, slow = fact.ago + known, fact.slowed / max(fact.signs, 1e-9)
    if age is not None and old < PACE_MOST and slow > math.log(router.pace_easy) and not node.pace.signs:
        signs = min(fact.signs, PACE_SIGNS)
        node.pace.slowed, node.pace.signs, node.pace.at = slow * signs, signs, now - old
        undo = partial(_forget_pace, node, slow * signs, signs, now - old)
        lapses.append((now + PACE_MOST - old, undo))
    return before != (node.cold_at, node.suspect, node.leaving, node.pace.signs)


def _forget_class(router: Knows[Machine], cls: int, seen: int) -> None:
    if router.samples[cls] - seen < OWN:
        router.work[cls], router.samples[cls] = router.unseen[cls], 0


def _forget_usual(router: Knows[Machine], key: tuple[int, bool, bool], seen: int) -> None:
    if key in router.usual and router.usual[key][1] - seen < OWN:
        del router.usual[key]


def _forget_work(router: Knows[Machine], kind: int, work: float, at: int, began: int) -> None:
    now_work, now_at = router.borne.get(kind, (0.0, router.now))
    left = work * math.exp2((at - now_at) / router.borne_fade)
    router.borne[kind], router.born = (max(now_work - left, 0.0), now_at), began


def _forget_pace(node: Known, slowed: float, signs: float, at: int) -> None:
    """Sums fade alike, so a recalled part is taken out of them exactly."""
    fade = math.exp2((at - node.pace.at) / node.pace.fade)
    node.pace.slowed -= slowed * fade
    node.pace.signs = max(node.pace.signs - signs * fade, 0.0)
