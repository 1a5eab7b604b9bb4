"""The experiment file (YAML): fleet, request classes, load, faults, seeds and variants, with validation."""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path
from statistics import NormalDist
from typing import Annotated, Any

import msgspec

from quincepier.interface import DeduplicationScope, Idempotency, RequestClass, Settings
from quincepier.keys import stable_hash
from quincepier.operator.reading import OperatorError, read_struct

MS = 1_000_000
SECOND = 1000 * MS
SIZE_HASH_SEED, MAX_SIZE_SIGMAS = (
    0x517E,
    3.0,
)  # hash seed of an object's size; cut-off of the log-normal tail, in sigmas
EDGE, PARENT, ORIGIN = 0, 1, 2  # machine kinds

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=60)]


class FaultKind(Enum):
    """Kinds of faults.

    All except `purge` last for `lasts` seconds. `part` is the affected share of a tier or of the fronts.
    """

    CRASH = "crash"  # processes die and refuse connections; they return empty and cold
    LOST = "lost"  # machines become unreachable: connections are neither refused nor answered
    SLOW = "slow"  # transfers take `size` times as long
    DRAIN = "drain"  # machines drain for 3 s, then new ones with new ids replace them
    LAG = "lag"  # endpoint updates are delayed by `size` seconds
    PURGE = "purge"  # `part` of the groups is purged
    RUSH = "rush"  # the request rate is multiplied by `size`
    # Faults on fronts. A front that was killed or terminated restarts after `lasts`.
    KILL = "kill"  # SIGKILL
    TERM = "term"  # SIGTERM
    ROLL = "roll"  # rolling restart: SIGTERM and restart, one front after the other, over `lasts`
    PAUSE = "pause"  # SIGSTOP, SIGCONT after `lasts`
    STARVE = "starve"  # stopped and resumed alternately, `size` ms each
    RELOAD = "reload"  # `size` SIGHUPs over `lasts`; processes only
    SIGNALS = "signals"  # sends `series`, up to `size` ms apart, then restarts after `lasts`; processes only
    CROWD = "crowd"  # `size` idle clients connect to each front for `lasts`; processes only
    # Network faults on a path to and from `part` of the fronts; processes only.
    CUT = "cut"  # data is lost; new connections are never established
    SILENT = "silent"  # connections are established and stay open, but pass no data
    RESET = "reset"  # open connections are reset and new ones refused
    DELAY = "delay"  # adds `size` ms and up to half as much again at random
    THROTTLE = "throttle"  # limits each connection to `size` kB/s
    LOSS = "loss"  # drops this share of datagrams (`size`, 0 to 1)
    REPEAT = "repeat"  # duplicates this share of datagrams
    SHUFFLE = "shuffle"  # delays this share of datagrams by up to 50 ms


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
    """Network path that a fault affects."""

    CLIENTS = "clients"
    CACHES = "caches"  # including parents and the origin
    LOG = "log"
    PEERS = "peers"  # between fronts


class LinkDirection(Enum):
    """Direction of traffic that a network fault affects, as seen from the front."""

    OUT = "out"
    IN = "in"
    BOTH = "both"


class StorageDamage(Enum):
    """Damage to a front's state folder while the front is down."""

    KEEP = "keep"
    EMPTY = "empty"
    CUT = "cut"  # each file loses its second half
    FLIP = "flip"  # one byte of each file is changed
    OLDER = "older"  # restored to its content at the start of the run
    READ_ONLY = "read-only"


class Signal(Enum):
    """One step of a `signals` fault."""

    RELOAD_SAME = "hup same"  # SIGHUP with an unchanged configuration
    RELOAD_NEW = "hup new"  # SIGHUP with another configuration
    RELOAD_HALF = "hup half"  # SIGHUP with a truncated configuration, as if it were being written
    RELOAD_WRONG = "hup wrong"  # SIGHUP with an invalid configuration
    TERM = "term"
    INT = "int"
    START = "start"  # restarts the front once it has exited; the next step does not wait for it


class CountedEvent(Enum):
    """Events that a fault can be triggered by."""

    FILLS = "fills"
    DIALS = "dials"
    CALLS = "calls"


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size and timing of the simulated deployment."""

    zones: Count = 2
    fronts: Count = 4  # total; fronts and caches are assigned to zones round-robin
    caches: Count = 8
    parents: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 2
    cache_sends: Positive = 12  # concurrent transfers at full speed
    parent_sends: Positive = 24
    origin_runs: Positive = 24
    cache_keeps: Count = 400  # parts of objects
    parent_keeps: Count = 2000
    near_ms: Positive = 1.0  # one-way delay between front and cache
    far_ms: Positive = 8.0  # one-way delay to parents and the origin
    origin_ms: Positive = 30.0  # origin's work for each fetch
    cold_from: Share = 0.2  # capacity share of a machine that has just started
    cold_s: Positive = 13.0  # time until a started machine has its full capacity
    fall_multiple: Positive = (
        2.5  # a cold machine crashes if asked for more than this multiple of its capacity
    )
    fall_s: Positive = 1.5  # window over which that load is measured
    told_ms: Positive = 150.0  # until endpoint updates and purges reach the fronts
    start_s: Positive = 0.5  # virtual time only: start-up time of a front
    noticed_s: Positive = 1.0  # until clients stop using a front that died
    keeps_s: NonNegative = 0.0  # interval of a front's state writes; 0: state is not stored
    keeps_part: Share = 1.0  # share of the fronts that store state
    dial_ms: Positive = 400.0  # a front's connect timeout
    sockets: Annotated[int, msgspec.Meta(ge=64, le=100_000)] = 1024  # descriptor limit of a front


class Class(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request class of the workload and its objects."""

    name: Name
    share: Positive
    send_ms: Positive
    wanted_ms: Positive
    deadline_ms: Positive
    worth: Positive = 1.0
    stretch: NonNegative = 2.0
    effect: Idempotency = Idempotency.SAFE
    sigma: Annotated[float, msgspec.Meta(ge=0, le=3)] = (
        0.0  # sigma of the log-normal object sizes; 0: all objects have the mean size
    )
    objects: Count = 500
    parts: Count = 1
    zipf: NonNegative = 1.0
    fresh_s: NonNegative = 0.0
    grace_s: NonNegative = 0.0
    never_kept: bool = False

    def __post_init__(self) -> None:
        if self.wanted_ms > self.deadline_ms:
            raise ValueError("wanted_ms must not exceed deadline_ms")


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The client model: request rate, retries and faulty clients."""

    rate: Positive = 140.0  # requests per second of the whole fleet, without retries
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 2
    back_off_ms: Positive = 50.0
    groups: Count = 32
    lost_ms: Positive = 50.0  # a response that is later than the deadline by more than this counts as lost
    leaves: Share = 0.0  # processes only: share of tries whose client aborts or disconnects early
    garbles: Share = 0.0  # processes only: share of tries on a new connection followed by invalid data
    hurried: Share = 0.0  # processes only: share of tries with a small part of the class's deadline
    # Processes only: after SIGTERM, clients keep sending on open connections until the front has exited, and
    # SIGKILL follows at the earliest time that the protocol page allows.
    stays: bool = False


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault of the schedule: from second `at` on for `lasts` seconds; `size` depends on the kind."""

    at: NonNegative
    kind: FaultKind
    tier: Annotated[int, msgspec.Meta(ge=0, le=2)] = EDGE
    part: Share = 0.25
    lasts: NonNegative = 10.0
    size: NonNegative = 4.0
    path: NetPath = NetPath.CACHES
    way: LinkDirection = LinkDirection.BOTH
    state: StorageDamage = StorageDamage.KEEP
    series: tuple[Signal, ...] = ()
    settled: bool = False  # processes only, on fronts: waits until all affected fronts serve
    counted: CountedEvent | None = None  # the fault is triggered by the `nth` such event after `at`
    nth: Count = 1

    def __post_init__(self) -> None:
        if self.kind in (FaultKind.LOSS, FaultKind.REPEAT, FaultKind.SHUFFLE) and self.size > 1:
            raise ValueError("size must not exceed 1")


class Variant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A variant: decision-module settings by name, see `quincepier.interface.Settings`, and state writes."""

    name: Name
    settings: dict[str, Any] = {}
    keeps_s: NonNegative | None = None  # overrides `Fleet.keeps_s`

    def __post_init__(self) -> None:
        known = Settings.__dataclass_fields__
        if unknown := [name for name in self.settings if name not in known]:
            raise ValueError(f"no such setting: {', '.join(unknown)}")


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole experiment file. Each variant runs once with each seed."""

    name: Name
    classes: Annotated[tuple[Class, ...], msgspec.Meta(min_length=1, max_length=20)]
    says: str = ""
    seconds: Annotated[float, msgspec.Meta(gt=0, le=600)] = 30.0
    seeds: Annotated[tuple[int, ...], msgspec.Meta(min_length=1, max_length=100)] = (1, 2, 3)
    fleet: Fleet = Fleet()
    load: Load = Load()
    faults: Annotated[tuple[Fault, ...], msgspec.Meta(max_length=100)] = ()
    voters: Annotated[int, msgspec.Meta(ge=0, le=7)] = (
        0  # processes only: number of voting fronts; 0: no agreement
    )
    wishes: Annotated[str, msgspec.Meta(max_length=100_000)] = (
        ""  # additional sections of the operators' file, as YAML
    )
    variants: Annotated[tuple[Variant, ...], msgspec.Meta(max_length=10)] = (Variant("as it is"),)

    def __post_init__(self) -> None:
        if len({variant.name for variant in self.variants}) < len(self.variants):
            raise ValueError("two variants have the same name")
        if self.fleet.fronts < self.fleet.zones or self.fleet.caches < self.fleet.zones:
            raise ValueError("fleet: each zone needs a front and a cache")

    def state_write_interval_s(self, variant: Variant, front: int) -> float:
        """Return the interval of that front's state writes, in seconds; 0 for never."""
        every = self.fleet.keeps_s if variant.keeps_s is None else variant.keeps_s
        return every if front < self.fleet.keeps_part * self.fleet.fronts else 0.0

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of any class, in seconds."""
        return max(cls.deadline_ms for cls in self.classes) / 1000

    def group_of_object(self, obj: int) -> int:
        """Return the group that an object belongs to."""
        return obj * 0x9E3779B1 % self.load.groups

    def send_time_ns(self, cls: int, obj: int) -> float:
        """Return an object's transfer time at full speed, ns; its mean over objects is `send_ms`."""
        c = self.classes[cls]
        if not c.sigma:
            return c.send_ms * MS
        drawn = NormalDist().inv_cdf(((stable_hash(obj, SIZE_HASH_SEED) >> 12) + 0.5) / 2**52)
        return c.send_ms * MS * math.exp(min(c.sigma * drawn, MAX_SIZE_SIGMAS * c.sigma) - c.sigma**2 / 2)

    def settings(self, zone: int, variant: Variant) -> Settings:
        """Return the decision-module settings of a front in that zone (zones count from 0)."""
        fleet = self.fleet
        by_zone = [0] + [len(range(z, fleet.fronts, fleet.zones)) for z in range(fleet.zones)]
        plain = Settings(
            zone=zone + 1,  # zone 0 is the hub
            fronts=fleet.fronts,
            fronts_by_zone=tuple(by_zone),
            classes=tuple(self._request_class(c) for c in self.classes),
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

    def _request_class(self, c: Class) -> RequestClass:
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
    """Read and validate an experiment file.

    Raises:
        OperatorError: With every fault of the file, each with its line and key.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError([f"{path}: can't be read: {error}"]) from None
    return read_struct(text, path, Experiment)
