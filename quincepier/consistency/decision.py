"""The rule decision of a key: what follows from rule version, settings and list alone, alike at all fronts.

Placement is the policy's own rendezvous hash (Thaler and Ravishankar 1998, weighted as -ln(u) / size),
without the steps of pace, which are a front's own reason. Pure.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from quincepier import interface as io
from quincepier.keys import mix
from quincepier.rules import RuleVersion

Mix = Callable[..., int]
HomeOf = Callable[[str, io.RequestCame], io.Home | None]  # tenant's name and a request of it
Memory = Callable[[int, int], Sequence[int] | None]  # zone (-1: parents) and hash: machines in order
TOLD_MOST = 8  # of an order of machines, as text
TENANTS_MOST = 64  # of a version, from which the sample's are drawn


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One machine of the list, as far as a rule decision rests on it; `number` follows from the host id."""

    host: str
    number: int
    kind: int
    zone: int
    cell: int
    size: float  # in transfers at a client's pace; 0 where the list tells none
    ready: bool


def score_of(draw: int, part: float) -> float:
    """The machine with the least is first; `draw` is a 64-bit hash of key and machine."""
    return -math.log((draw + 1) / 2**64) / part


@dataclass(slots=True, frozen=True)
class Arithmetic:
    """What all decisions are computed with; another one is planted by tests alone."""

    mix: Mix = mix
    score: Callable[[int, float], float] = score_of


STANDARD_ARITHMETIC = Arithmetic()


@dataclass(slots=True, frozen=True)
class DecisionInputs:
    """All that rule decisions follow from, as one front has it at one moment.

    `revision`: number in the change log of the last change of the list. `homes` must follow from `version`
    and `lines` alone, for the caches of all zones, and never be those of a cautious front.
    """

    version: RuleVersion
    settings: io.Settings  # its own zone is not looked at
    lines: tuple[ListedEndpoint, ...]
    revision: int
    build: str
    homes: HomeOf | None = None


class DecisionKey(msgspec.Struct, frozen=True, array_like=True):
    """What is asked for, and from a front of which zone."""

    cls: int
    object: int
    part: int
    group: int
    tenant: str
    zone: int

    def __str__(self) -> str:
        told = f" of tenant {self.tenant}" if self.tenant else ""
        return f"object {self.object:x} part {self.part} class {self.cls}{told} in zone {self.zone}"


class RuleDecision(msgspec.Struct, frozen=True, array_like=True):
    """Times are nanoseconds; machines are the module's numbers, the first choice first."""

    tier: int
    direct: bool  # never kept: goes to the origin, untouched
    caches: tuple[int, ...]
    sources: tuple[int, ...]  # parents, then origins
    oldest: tuple[int, int]  # oldest age of a fresh copy and of one within grace; 0: the class has none
    home: str
    closed: bool  # what may not simply be repeated is refused
    repeats: tuple[str, str, int]  # effect, group of caches that drop repeats, window

    def fields(self) -> tuple[tuple[str, str], ...]:
        """As text; of a long order its beginning and a digest of all."""
        return tuple((name, _text(getattr(self, name))) for name in self.__struct_fields__)


def _text(value: object) -> str:
    if isinstance(value, tuple) and len(value) > TOLD_MOST:
        first = ", ".join(map(str, value[:TOLD_MOST]))
        return f"{first}, of {len(value)}, {xxhash.xxh3_64_hexdigest(str(value).encode())}"
    return str(value)


def tiers_of(classes: Sequence[io.RequestClass]) -> list[int]:
    """The tier of each class by its worth among those that are kept: the highest is 0, the lowest 2."""
    worths = sorted({c.worth for c in classes if not c.never_kept}, reverse=True)
    place = {worth: math.ceil(2 * n / max(len(worths) - 1, 1)) for n, worth in enumerate(worths)}
    return [place.get(c.worth, 0) for c in classes]


def order_of(
    lines: Sequence[ListedEndpoint], key: int, by_size: bool, how: Arithmetic = STANDARD_ARITHMETIC
) -> list[int]:
    """Machines by a hash of the key; each is first for a part of all keys that follows its size."""
    weigh = by_size and all(line.size > 0 for line in lines)
    scored = [(how.score(how.mix(key, m.number), m.size if weigh else 1.0), m.number) for m in lines]
    return [number for _, number in sorted(scored)]


class DecisionRules:
    """Decides keys by one `Inputs`. `memory`, where given, is what the front's module has ranked already."""

    def __init__(
        self, inputs: DecisionInputs, how: Arithmetic = STANDARD_ARITHMETIC, memory: Memory | None = None
    ) -> None:
        s, self.inputs, self.how, self.memory = inputs.settings, inputs, how, memory
        self.tiers = tiers_of(s.classes)
        by_number = sorted(inputs.lines, key=lambda line: line.number)
        self.parents = [line for line in by_number if line.kind == s.parent_kind]
        self.origins = [line.number for line in by_number if line.kind == s.origin_kind]
        self.edges = dict[int, list[ListedEndpoint]]()
        for line in by_number:
            if line.kind not in (s.parent_kind, s.origin_kind):
                self.edges.setdefault(line.zone, []).append(line)
        aside = {order.target for order in inputs.version.maintenance_tasks if order.is_cordoned}
        self.away = {line.number for line in inputs.lines if not line.ready or line.host in aside}

    def decide(self, key: DecisionKey) -> RuleDecision:
        s, cls, mixed = self.inputs.settings, self.inputs.settings.classes[key.cls], self.how.mix
        came = io.RequestCame(0, key.cls, 0.0, 0, key.group, key.object, key.part, False, cls.deadline)
        home = self.inputs.homes(key.tenant, came) if self.inputs.homes is not None else None
        caches = self._order(key.zone, self.edges.get(key.zone, []), mixed(key.object, key.part))
        parents = self._order(-1, self.parents, mixed(key.object))
        if home is not None:
            caches = [n for n in caches if n in home.caches]
            parents = [n for n in parents if n in home.parents]
        return RuleDecision(
            tier=self.tiers[key.cls],
            direct=cls.never_kept and s.direct,
            caches=tuple(n for n in caches if n not in self.away),
            sources=tuple(n for n in [*parents, *self.origins] if n not in self.away),
            oldest=(cls.fresh, cls.fresh + cls.grace if cls.fresh else 0),
            home="" if home is None else str(home.name),
            closed=home is not None and home.closed,
            repeats=(cls.effect.value, cls.group.value, cls.window),
        )

    def cost(self, key: DecisionKey) -> int:
        """Draws that a decision takes."""
        return len(self.edges.get(key.zone, ())) + len(self.parents) + 1

    def _order(self, zone: int, lines: Sequence[ListedEndpoint], key: int) -> Sequence[int]:
        kept = self.memory(zone, key) if self.memory is not None else None
        return order_of(lines, key, self.inputs.settings.sizes_compare, self.how) if kept is None else kept


def decide(inputs: DecisionInputs, key: DecisionKey, how: Arithmetic = STANDARD_ARITHMETIC) -> RuleDecision:
    """The rule decision of one key."""
    return DecisionRules(inputs, how).decide(key)


def sample(number: int, round_: int, size: int, inputs: DecisionInputs) -> list[DecisionKey]:
    """Keys of a round: the same at every front of equal inputs. Zones are those that have caches; tenants
    those that the version names, and the nameless.
    """
    chance = random.Random(number << 64 | round_)  # not by the policy's hash, which is under trial itself
    s = inputs.settings
    upper = (s.parent_kind, s.origin_kind)
    zones = sorted({line.zone for line in inputs.lines if line.kind not in upper}) or [0]
    version = inputs.version
    named = {m.tenant for m in version.migrations} | {h.tenant for h in version.placements}
    tenants = sorted(named)[:TENANTS_MOST]
    return [
        DecisionKey(
            cls=chance.randrange(len(s.classes)),
            object=chance.getrandbits(64),
            part=chance.randrange(4),
            group=chance.randrange(1, 256),
            tenant=chance.choice(tenants) if tenants and chance.random() < 0.5 else "",
            zone=chance.choice(zones),
        )
        for _ in range(size)
    ]


def canaries(how: Arithmetic = STANDARD_ARITHMETIC) -> tuple[bytes, bytes]:
    """16 bytes each of fixed work: by the hash, and by the floats alone, to the last bit."""
    draws = [how.mix(n, 3 * n + 1, 7) for n in range(64)]
    fixed = ((n * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF, 0.1 + n / 7) for n in range(1, 257))
    floats = [how.score(draw, part) for draw, part in fixed]
    hashed, scored = struct.pack("<64Q", *draws), struct.pack("<256d", *floats)
    return xxhash.xxh3_128_digest(hashed), xxhash.xxh3_128_digest(scored)
