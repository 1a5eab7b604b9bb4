"""An experiment: a YAML file of a fleet, classes, load, faults, seeds and variants; checked whole."""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path
from statistics import NormalDist
from typing import Annotated, Any

import msgspec

from quincepier.interface import DeduplicationScope, Idempotency, RequestClass, Settings
from quincepier.keys import mix
from quincepier.operator.reading import OperatorError, read_struct

MS = 1_000_000
SECOND = 1000 * MS
SIZES, SIZE_MOST = 0x517E, 3.0  # the draw of sizes by object; where the log-normal's tail is cut, in sigmas
EDGE, PARENT, ORIGIN = 0, 1, 2  # kinds of machine, by their number

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
AtLeast0 = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=60)]


class FaultKind(Enum):
    """What a fault does. All but `purge` last for `lasts` seconds, and strike part of a tier or of fronts."""

    CRASH = "crash"  # processes die: connections refused; they come back empty and cold
    LOST = "lost"  # gone without a word: nothing is refused, nothing answered
    SLOW = "slow"  # `size` times slower
    DRAIN = "drain"  # told to drain, gone 3 s later, replaced by new ones under new ids
    LAG = "lag"  # the list is told `size` seconds later
    PURGE = "purge"  # that part of the groups is purged
    RUSH = "rush"  # `size` times the load
    # On fronts. One that was killed or ended is started anew after `lasts`.
    KILL = "kill"  # SIGKILL
    TERM = "term"  # SIGTERM
    ROLL = "roll"  # SIGTERM and start anew, one after the other over `lasts`
    PAUSE = "pause"  # SIGSTOP, SIGCONT after `lasts`
    STARVE = "starve"  # stopped and let go in turn, `size` ms each
    RELOAD = "reload"  # SIGHUP, `size` times over `lasts`; not in virtual time
    SIGNALS = "signals"  # the `series`, up to `size` ms apart, then anew after `lasts`; not in virtual time
    CROWD = "crowd"  # `size` idle clients come to each and stay for `lasts`; not in virtual time
    # On a path of the net, to and from a part of the fronts; not in virtual time.
    CUT = "cut"  # what is said is lost; new connections never come up
    SILENT = "silent"  # open connections stay open and nothing comes through; new ones come up
    RESET = "reset"  # open connections are reset, new ones refused
    DELAY = "delay"  # `size` ms more, half as much again by chance
    THROTTLE = "throttle"  # `size` kB/s for each connection
    LOSS = "loss"  # of datagrams: `size` of them, 0 to 1
    REPEAT = "repeat"  # of datagrams: `size` of them come twice
    SHUFFLE = "shuffle"  # of datagrams: `size` of them come up to 50 ms late


ON_FRONTS = frozenset(
    (
        FaultKind.KILL,
        FaultKind.TERM,
        FaultKind.ROLL,
        FaultKind.PAUSE,
        FaultKind.STARVE,
        FaultKind.RELOAD,
        FaultKind.SIGNALS,
        FaultKind.CROWD,
    )
)
ON_PATHS = frozenset(
    (
        FaultKind.CUT,
        FaultKind.SILENT,
        FaultKind.RESET,
        FaultKind.DELAY,
        FaultKind.THROTTLE,
        FaultKind.LOSS,
        FaultKind.REPEAT,
        FaultKind.SHUFFLE,
    )
)


class NetPath(Enum):
    """Where a fault of the net strikes."""

    CLIENTS = "clients"
    CACHES = "caches"  # parents and the origin too
    LOG = "log"
    PEERS = "peers"  # between fronts


class LinkDirection(Enum):
    OUT = "out"  # what a front says
    IN = "in"  # what it hears
    BOTH = "both"


class StorageDamage(Enum):
    """What becomes of a front's folder of state while it is down."""

    KEEP = "keep"
    EMPTY = "empty"
    CUT = "cut"  # each file loses its second half
    FLIP = "flip"  # one byte of each file is another
    OLDER = "older"  # as it was when the run began
    READ_ONLY = "read-only"


class Signal(Enum):
    """A step of a series of signals."""

    RELOAD_SAME = "hup same"  # SIGHUP, the configuration as it was
    RELOAD_NEW = "hup new"  # another one
    RELOAD_HALF = "hup half"  # cut in the middle, as while it is written
    RELOAD_WRONG = "hup wrong"  # one that can't be used
    TERM = "term"
    INT = "int"
    START = "start"  # the front is started anew once it has ended; the series goes on at once


class CountedEvent(Enum):
    """What a fault may wait for."""

    FILLS = "fills"
    DIALS = "dials"
    CALLS = "calls"


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    zones: Count = 2
    fronts: Count = 4  # in all, by turns to the zones; so are caches
    caches: Count = 8
    parents: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 2
    cache_sends: Positive = 12  # transfers at full pace at once
    parent_sends: Positive = 24
    origin_runs: Positive = 24
    cache_keeps: Count = 400  # parts of objects
    parent_keeps: Count = 2000
    near_ms: Positive = 1.0  # one way, front to cache
    far_ms: Positive = 8.0  # one way, to parents and the origin
    origin_ms: Positive = 30.0  # of work there for each fetch
    cold_from: Share = 0.2
    cold_s: Positive = 13.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 1.5
    told_ms: Positive = 150.0  # until the list's changes and purges are told
    start_s: Positive = 0.5  # in virtual time: until a front that is started serves
    noticed_s: Positive = 1.0  # until the clients' side leaves out a front that died
    keeps_s: AtLeast0 = 0.0  # how often a front writes what it learned; 0: nothing is kept
    keeps_part: Share = 1.0  # of the fronts that keep it
    dial_ms: Positive = 400.0  # what the settings give a front for a connection to a machine
    sockets: Annotated[int, msgspec.Meta(ge=64, le=100_000)] = 1024  # descriptors of a front


class Class(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: Name
    share: Positive
    send_ms: Positive
    wanted_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    stretch: AtLeast0 = 2.0
    effect: Idempotency = Idempotency.SAFE
    sigma: Annotated[float, msgspec.Meta(ge=0, le=3)] = 0.0  # of the log-normal sizes of objects; 0: alike
    objects: Count = 500
    parts: Count = 1
    zipf: AtLeast0 = 1.0
    fresh_s: AtLeast0 = 0.0
    grace_s: AtLeast0 = 0.0
    never_kept: bool = False

    def __post_init__(self) -> None:
        if self.wanted_ms > self.deadline_ms:
            raise ValueError("wanted_ms <= deadline_ms is wanted")


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rate: Positive = 140.0  # first tries a second, of the whole fleet
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    back_off_ms: Positive = 50.0
    groups: Count = 32
    lost_ms: Positive = 50.0  # past its time: an answer that comes later is lost
    leaves: Share = 0.0  # of tries by processes: whose client aborts or closes before its time
    garbles: Share = 0.0  # of tries by processes: over a new connection, what is no record behind them
    hurried: Share = 0.0  # of tries by processes: with a small part of their class's time
    # By processes: after SIGTERM clients go on sending on open connections until the front has ended, and
    # SIGKILL comes when the protocol page says at the earliest.
    stays: bool = False


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    at: AtLeast0
    kind: FaultKind
    tier: Annotated[int, msgspec.Meta(ge=0, le=2)] = EDGE
    part: Share = 0.25
    lasts: AtLeast0 = 10.0
    size: AtLeast0 = 4.0
    path: NetPath = NetPath.CACHES
    way: LinkDirection = LinkDirection.BOTH
    state: StorageDamage = StorageDamage.KEEP
    series: tuple[Signal, ...] = ()
    settled: bool = (
        False  # by processes, on fronts: strikes once those struck serve, so that none is down yet
    )
    counted: CountedEvent | None = None  # strikes at the `nth` such event from `at` on
    nth: Count = 1

    def __post_init__(self) -> None:
        if self.kind in (FaultKind.LOSS, FaultKind.REPEAT, FaultKind.SHUFFLE) and self.size > 1:
            raise ValueError("size <= 1 is wanted")


class Variant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What differs: settings of the module by name, as in `quincepier.interface.Settings`; what is kept."""

    name: Name
    settings: dict[str, Any] = {}
    keeps_s: AtLeast0 | None = None  # in place of the fleet's

    def __post_init__(self) -> None:
        known = Settings.__dataclass_fields__
        if unknown := [name for name in self.settings if name not in known]:
            raise ValueError(f"no such setting: {', '.join(unknown)}")


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: Name
    classes: Annotated[tuple[Class, ...], msgspec.Meta(min_length=1, max_length=20)]
    says: str = ""
    seconds: Annotated[float, msgspec.Meta(gt=0, le=600)] = 30.0
    seeds: Annotated[tuple[int, ...], msgspec.Meta(min_length=1, max_length=100)] = (1, 2, 3)
    fleet: Fleet = Fleet()
    load: Load = Load()
    faults: Annotated[tuple[Fault, ...], msgspec.Meta(max_length=100)] = ()
    voters: Annotated[int, msgspec.Meta(ge=0, le=7)] = 0  # fronts that vote, by processes; 0: none settle
    wishes: Annotated[str, msgspec.Meta(max_length=100_000)] = ""  # further sections of the operators' file
    variants: Annotated[tuple[Variant, ...], msgspec.Meta(max_length=10)] = (Variant("as it is"),)

    def __post_init__(self) -> None:
        if len({variant.name for variant in self.variants}) < len(self.variants):
            raise ValueError("two variants have one name")
        if self.fleet.fronts < self.fleet.zones or self.fleet.caches < self.fleet.zones:
            raise ValueError("fleet: a front and a cache for each zone are wanted")

    def state_write_interval_s(self, variant: Variant, front: int) -> float:
        """How often that front writes what it learned, in seconds; 0: never."""
        every = self.fleet.keeps_s if variant.keeps_s is None else variant.keeps_s
        return every if front < self.fleet.keeps_part * self.fleet.fronts else 0.0

    @property
    def longest_deadline_s(self) -> float:
        """The longest time in which a client waits, in seconds."""
        return max(cls.deadline_ms for cls in self.classes) / 1000

    def group_of_object(self, obj: int) -> int:
        return obj * 0x9E3779B1 % self.load.groups

    def send_time_ns(self, cls: int, obj: int) -> float:
        """The sending time of an object alone, in nanoseconds; the class's mean is kept."""
        c = self.classes[cls]
        if not c.sigma:
            return c.send_ms * MS
        drawn = NormalDist().inv_cdf(((mix(obj, SIZES) >> 12) + 0.5) / 2**52)
        return c.send_ms * MS * math.exp(min(c.sigma * drawn, SIZE_MOST * c.sigma) - c.sigma**2 / 2)

    def settings(self, zone: int, variant: Variant) -> Settings:
        """Of the module of a front in that zone."""
        fleet = self.fleet
        by_zone = [0] + [len(range(z, fleet.fronts, fleet.zones)) for z in range(fleet.zones)]
        plain = Settings(
            zone=zone + 1,  # zone 0 is the hub's
            fronts=fleet.fronts,
            fronts_by_zone=tuple(by_zone),
            classes=tuple(self._class(c) for c in self.classes),
            parent_kind=PARENT,
            origin_kind=ORIGIN,
            direct=True,
            joins=True,
            siblings=False,
            reports=(),
            client_kb_per_s=0.0,
            sizes_compare=True,
            purge_settles=6 * SECOND,
            cold_from=fleet.cold_from,
            cold_multiple=fleet.fall_multiple,
            cold_window=int(fleet.fall_s * SECOND),
            cold_time=int(fleet.cold_s * SECOND),
            parent_cold_from=fleet.cold_from,
            parent_cold_multiple=fleet.fall_multiple,
            parent_cold_time=int(fleet.cold_s * SECOND),
            list_on_request=False,
            must_ask_in=0,
            cancel=True,
            second_copies=True,
            attempts=8,
            retry_after=True,
            max_retry_after=SECOND // 2,
            step=MS,
        )
        return Settings(**{f: getattr(plain, f) for f in Settings.__dataclass_fields__} | variant.settings)

    def _class(self, c: Class) -> RequestClass:
        return RequestClass(
            effect=c.effect,
            group=DeduplicationScope.ALL,
            window=5 * SECOND,
            on_time=int(c.wanted_ms * MS),
            stretch=c.stretch,
            deadline=int(c.deadline_ms * MS),
            worth=c.worth,
            stream=False,
            fresh=int(c.fresh_s * SECOND),
            grace=int(c.grace_s * SECOND),
            never_kept=c.never_kept,
        )


def load(path: str) -> Experiment:
    """Raises OperatorError with all that is wrong, each with line and key."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError([f"{path}: can't be read: {error}"]) from None
    return read_struct(text, path, Experiment)
