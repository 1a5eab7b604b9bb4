"""The failure detector of one front: SWIM with Lifeguard, and accusations that several have to agree on.

After Das, Gupta, Motivala, "SWIM" (DSN 2002): probes in shuffled rounds, indirect probes, suspicion,
incarnations, news carried by the probes. After Dadgar, Phillips, Currey, "Lifeguard" (DSN-W 2018): a front
that is ill itself is slower to accuse, suspicion shortens with independent accusers, the accused hears of it
first. After Suresh and others, "Stable and Consistent Membership at Scale with Rapid" (USENIX ATC 2018):
several have to agree, and changes that belong together are one change of the view. Ours: the age of an
accusation travels, so that all come to the same end at about the same moment.

Pure: datagrams and times in, actions out; chance is seeded.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from quincepier.membership.member_table import Address, MemberRecord, MemberState, supersedes
from quincepier.membership.messages import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    FullState,
    InvalidMessageError,
    MembershipUpdate,
    Message,
    MessageKind,
    decode,
    decode_full_state,
    encode,
    size_of,
)
from quincepier.membership.probe_intervals import MS, ProbeIntervals

HEAD_MOST = 320  # bytes that a datagram's own fields may take; news fill the rest
CARRIED_MOST = 40  # pieces of news in one datagram
TOLD_MOST = 8192  # pieces of news that wait to be told
PROBES_MOST = 256  # probes of this front and of others' asking that are open at once
TWINS = 3  # times that another raised this front's own name within a lease: two processes have it


@dataclass(slots=True, frozen=True)
class SendDatagram:
    address: Address
    data: bytes


@dataclass(slots=True, frozen=True)
class StartStateSync:
    """Give that front the whole of `Detector.whole()` and take its answer, over a stream."""

    address: Address


@dataclass(slots=True, frozen=True)
class ViewChanged:
    """The view changed: all members, and who came and went with this one change."""

    members: tuple[str, ...]
    came: tuple[str, ...]
    went: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class DuplicateMember:
    """Another process has this front's name."""

    address: Address


Action = SendDatagram | StartStateSync | ViewChanged | DuplicateMember


@dataclass(slots=True)
class Probe:
    name: str
    began: int
    asked: bool = False  # others were asked to probe
    nacks: int = 0
    helpers: int = 0
    back: tuple[Address, int] | None = None  # whom it is for, and their number


class FailureDetector:
    def __init__(
        self,
        fleet: str,
        name: str,
        address: Address,
        start: int,
        now: int,
        seed: int,
        seeds: Iterable[Address] = (),
        pace: ProbeIntervals | None = None,
    ) -> None:
        """`start`: greater at each start as a rule, such as Unix time with chance in its last bits."""
        self.fleet, self.name, self.address, self.incarnation = fleet, name, address, start
        self.pace, self.random = pace or ProbeIntervals(), random.Random(seed)
        self.seeds = [s for s in seeds if s != address]
        self.claims: dict[str, MemberRecord] = {}  # of all others
        self.suspects = set[str]()
        self.living, self.changed = 0, True  # other members; whether who is one changed since the last look
        self.members: set[str] = {name}  # the view that was told last
        self.due: int | None = None  # when changes that wait are told
        self.first_due = 0
        self.told: dict[
            tuple[str, str], tuple[MembershipUpdate, int, int]
        ] = {}  # news: how often told, since when
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.number = self.random.getrandbits(40)
        self.health, self.heard_any, self.ticked = 0, now, now
        self.next_probe = now
        self.next_whole = now + self.random.randrange(max(self.pace.whole_every, 1))
        self.next_lost = now
        self.raised: list[int] = []  # times at which another had this front's name
        self.knows = True  # False after a pause past the lease, until it is heard from others again
        self.left, self.bad = False, 0
        self.out: list[Action] = []

    # In

    def heard(self, now: int, raw: bytes) -> list[Action]:
        """A datagram came. What is none of ours is counted in `bad`."""
        self.out = []
        self._awake(now)
        try:
            words = decode(raw, self.fleet)
        except InvalidMessageError:
            self.bad += 1
            return self.out
        if words.name == self.name:
            if words.address != self.address or words.incarnation != self.incarnation:
                self._namesake(now, words.incarnation, words.address)
            return self.out
        if self.left:
            return self.out
        self._mark_heard(now)
        self._claim(now, words.name, words.address, words.incarnation, MemberState.ALIVE, now, "")
        claim = self.claims.get(words.name)
        if claim is not None and claim.incarnation == words.incarnation:
            claim.heard = now
        for news in words.news:
            self._learn(now, news)
        match words.kind:
            case MessageKind.PING:
                self._say(now, words.address, MessageKind.ACK, words.number, words.name)
            case MessageKind.ASK:
                self._probe_for(now, words)
            case MessageKind.ACK | MessageKind.NACK:
                self._answered(now, words)
            case MessageKind.LEAVE:
                self._claim(now, words.name, words.address, words.incarnation, MemberState.LEFT, now, "")
        self._settle(now)
        return self.out

    def merge(self, now: int, raw: bytes) -> list[Action]:
        """Another's whole view came over a stream."""
        self.out = []
        self._awake(now)
        try:
            whole = decode_full_state(raw, self.fleet)
        except InvalidMessageError:
            self.bad += 1
            return self.out
        self._mark_heard(now)
        for news in whole.news:
            self._learn(now, news)
        self._settle(now)
        return self.out

    def whole(self, now: int) -> bytes:
        me = MembershipUpdate(self.name, self.address, self.incarnation, MemberState.ALIVE, 0)
        return encode(
            FullState(VERSION, self.fleet, (me, *(self._news(now, c) for c in self.claims.values())))
        )

    def tick(self, now: int) -> list[Action]:
        """To be called at `wake` at the latest."""
        self.out = []
        self._awake(now)
        if self.left:
            return self.out
        self._overdue(now)
        if now >= self.next_probe:
            self.next_probe = now + self.pace.period
            self._probe(now)
        if now >= self.next_lost:
            self.next_lost = now + self.pace.lost_every
            self._find(now)
        if now >= self.next_whole:
            # a whole view grows with the members, so it is given less often where there are many
            wait = self.pace.whole_every * max(1.0, self.living / self.pace.whole_for)
            self.next_whole = now + int(wait * self.random.uniform(0.5, 1.5))
            if others := [c for c in self.claims.values() if c.member]:
                self.out.append(StartStateSync(self.random.choice(others).address))
        self._settle(now)
        return self.out

    @property
    def wake(self) -> int:
        """When the next tick is wanted."""
        times = [self.next_probe, *(p.began + self._patience(p) for p in self.probes.values())]
        return min(times + ([self.due] if self.due is not None else []))

    def leave(self, now: int) -> list[Action]:
        """Told on SIGTERM: a few members hear it and pass it on."""
        self.out, self.left = [], True
        others = [c for c in self.claims.values() if c.member]
        for claim in self.random.sample(others, min(len(others), 2 * self.pace.helpers)):
            self._say(now, claim.address, MessageKind.LEAVE, 0, "")
        return self.out

    # Own standstill

    def _awake(self, now: int) -> None:
        """Time in which this front did not run accuses nobody: what was due in it is asked again first."""
        gap, self.ticked = now - self.ticked, max(now, self.ticked)
        if gap <= self.pace.period + self.pace.late:
            return
        self.health = min(self.health + 1, self.pace.health_most)
        self.probes.clear()
        for claim in self.claims.values():
            if claim.standing is MemberState.SUSPECT:
                claim.since += gap
        self.next_probe = now
        if gap > self.pace.lease:
            self._forget_view(now)

    def _mark_heard(self, now: int) -> None:
        self.heard_any, self.changed = now, self.changed or not self.knows
        self.knows = True

    def _forget_view(self, now: int) -> None:
        """Nobody was heard for longer than a lease: this front is alone until it hears others anew."""
        self.knows, self.due = False, None
        if self.members != {self.name}:
            went = tuple(sorted(self.members - {self.name}))
            self.members = {self.name}
            self.out.append(ViewChanged((self.name,), (), went))

    # Probes

    def _others(self) -> list[MemberRecord]:
        return [c for c in self.claims.values() if c.member]

    def _patience(self, probe: Probe) -> int:
        """A probe is over after the direct and then the indirect wait, longer where this front is ill."""
        wait = self.pace.answer if not probe.asked else self.pace.period + self.pace.answer
        return wait * (1 + self.health)

    def _probe(self, now: int) -> None:
        self.round = [n for n in self.round if n in self.claims and self.claims[n].member]
        if not self.round:
            self.round = [c.name for c in self._others()]
            self.random.shuffle(self.round)
        if self.round:
            self._ping(now, self.claims[self.round.pop()], None)

    def _ping(self, now: int, claim: MemberRecord, back: tuple[Address, int] | None) -> None:
        if len(self.probes) < PROBES_MOST:
            self.number += 1
            self.probes[self.number] = Probe(claim.name, now, back=back)
            self._say(now, claim.address, MessageKind.PING, self.number, claim.name)

    def _probe_for(self, now: int, words: Message) -> None:
        if (claim := self.claims.get(words.about)) is not None:
            self._ping(now, claim, (words.address, words.number))

    def _answered(self, now: int, words: Message) -> None:
        probe = self.probes.get(words.number)
        if probe is None or words.about not in ("", probe.name):
            return
        if words.kind is MessageKind.NACK:
            probe.nacks += 1
        elif words.name == probe.name or words.about == probe.name:
            del self.probes[words.number]
            self.health = max(self.health - 1, 0)
            if probe.back is not None:
                self._say(now, probe.back[0], MessageKind.ACK, probe.back[1], "", probe.name)

    def _overdue(self, now: int) -> None:
        for number, probe in list(self.probes.items()):
            if now < probe.began + self._patience(probe):
                continue
            claim = self.claims.get(probe.name)
            if claim is None or not claim.member:
                del self.probes[number]
            elif probe.back is not None:  # others asked for it: they hear that it does not answer here either
                del self.probes[number]
                self._say(now, probe.back[0], MessageKind.NACK, probe.back[1], "", probe.name)
            elif not probe.asked:
                probe.asked = True
                helpers = [c for c in self._others() if c.name != probe.name]
                chosen = self.random.sample(helpers, min(len(helpers), self.pace.helpers))
                probe.helpers = len(chosen)
                for helper in chosen:
                    self._say(now, helper.address, MessageKind.ASK, number, "", probe.name)
            else:
                del self.probes[number]
                if (
                    probe.helpers and not probe.nacks
                ):  # nobody at all answered: it may be this front that is cut off
                    self.health = min(self.health + 1, self.pace.health_most)
                self._claim(
                    now, claim.name, claim.address, claim.incarnation, MemberState.SUSPECT, now, self.name
                )

    def _find(self, now: int) -> None:
        """Now and then one that was put out, or a seed, is asked: so parts of a fleet find each other."""
        gone = [c.address for c in self.claims.values() if c.standing is MemberState.GONE]
        known = {c.address for c in self._others()}
        choices = gone + [s for s in self.seeds if s not in known]
        if not known:
            choices = choices or list(self.seeds)
            for address in self.random.sample(choices, min(len(choices), self.pace.helpers)):
                self._say(now, address, MessageKind.PING, 0, "")
                self.out.append(StartStateSync(address))
        elif choices:
            self._say(now, self.random.choice(choices), MessageKind.PING, 0, "")
        for name in [n for n, c in self.claims.items() if not c.member and now - c.since > self.pace.forget]:
            del self.claims[name]

    # What is believed

    def _learn(self, now: int, news: MembershipUpdate) -> None:
        if news.name == self.name:
            if news.incarnation > self.incarnation or (
                news.address != self.address and news.incarnation == self.incarnation
            ):
                self._namesake(now, news.incarnation, news.address)
            elif (
                news.standing != MemberState.ALIVE and news.incarnation == self.incarnation and not self.left
            ):
                self._refute(now, news.incarnation)
            return
        age = min(news.age_ms * MS, self.pace.forget)
        self._claim(
            now, news.name, news.address, news.incarnation, MemberState(news.standing), now - age, news.by
        )

    def _refute(self, now: int, incarnation: int) -> None:
        """Accused without need: a higher incarnation says so. It may be ill: it is slower to accuse."""
        self.incarnation = incarnation + 1
        self.health = min(self.health + 1, self.pace.health_most)
        self._tell(now, MembershipUpdate(self.name, self.address, self.incarnation, MemberState.ALIVE, 0))

    def _namesake(self, now: int, incarnation: int, address: Address) -> None:
        """Another process, or an earlier start of this front, is known by this name: this one goes before."""
        self._refute(now, max(incarnation, self.incarnation))
        if address != self.address or incarnation < self.incarnation:
            self.raised = [at for at in self.raised if now - at < self.pace.lease] + [now]
            if len(self.raised) == TWINS:
                self.out.append(DuplicateMember(address))

    def _claim(
        self,
        now: int,
        name: str,
        address: Address,
        incarnation: int,
        standing: MemberState,
        since: int,
        by: str,
    ) -> None:
        old = self.claims.get(name)
        if old is None:
            if len(self.claims) >= self.pace.members_most:
                return
            old = self.claims[name] = MemberRecord(name, address, incarnation, MemberState.LEFT, since)
            old.accusers.update([by] if by else [])
            self._stand(old, standing)
            self._tell(now, self._news(now, old, by))
            return
        if (
            standing is MemberState.SUSPECT
            and old.standing is MemberState.SUSPECT
            and incarnation == old.incarnation
        ):
            old.since = min(old.since, max(since, now - self.pace.suspicion_most))
            if by and by not in old.accusers and len(old.accusers) < 2 * self.pace.accusers:
                old.accusers.add(by)
                self._tell(now, self._news(now, old, by))
            return
        if not supersedes(incarnation, standing, old):
            return
        if incarnation > old.incarnation or standing is not MemberState.GONE:
            old.accusers = {by} if by else set()
        old.address, old.incarnation, old.since = address, incarnation, since
        self._stand(old, standing)
        self._tell(now, self._news(now, old, by))

    def _stand(self, claim: MemberRecord, standing: MemberState) -> None:
        before, claim.standing = claim.member, standing
        (self.suspects.add if standing is MemberState.SUSPECT else self.suspects.discard)(claim.name)
        if claim.member != before:
            self.living += 1 if claim.member else -1
            self.changed = True

    def needed(self) -> int:
        """Accusers that have to agree: fewer where fewer are left who could."""
        return max(min(self.pace.accusers, self.living - len(self.suspects) + 1), 1)

    def ends(self, claim: MemberRecord) -> int:
        """When a suspect is put out: sooner, the more accuse it by themselves."""
        least, most, needed = self.pace.suspicion, self.pace.suspicion_most, self.needed()
        share = min(len(claim.accusers) / needed, 1.0)
        return claim.since + int(most - (most - least) * share) * (1 + self.health // 2)

    def _settle(self, now: int) -> None:
        """Put out whose time is over, and tell changes of the view that belong together as one."""
        if now - self.heard_any > self.pace.lease:
            self._forget_view(now)
            return
        suspects = [self.claims[name] for name in sorted(self.suspects)]
        needed = self.needed()  # of those that there were before any of these goes
        for claim in suspects:
            if len(claim.accusers) >= needed and now >= self.ends(claim):
                claim.since = now
                self._stand(claim, MemberState.GONE)
                self._tell(now, self._news(now, claim))
        if not self.changed and self.due is None:
            return
        self.changed = False
        believed = {self.name}
        if self.knows:
            believed |= {c.name for c in self.claims.values() if c.member}
        if believed == self.members:
            self.due = None
            return
        if self.due is None:
            self.first_due, self.due = now, now + self.pace.gather
        left = (c for c in suspects if c.standing is MemberState.SUSPECT)
        soon = [end for c in left if (end := self.ends(c)) <= now + self.pace.gather]
        if soon and now - self.first_due < self.pace.gather_most:
            self.due = max(self.due, *soon)
        if now >= self.due or (not self.members - believed and len(self.members) == 1):
            came, went = sorted(believed - self.members), sorted(self.members - believed)
            self.members, self.due = believed, None
            self.out.append(ViewChanged(tuple(sorted(believed)), tuple(came), tuple(went)))

    # Out

    def _news(self, now: int, claim: MemberRecord, by: str = "") -> MembershipUpdate:
        age = max(now - claim.since, 0) // MS if claim.standing is MemberState.SUSPECT else 0
        by = by or (min(claim.accusers) if claim.standing is MemberState.SUSPECT and claim.accusers else "")
        return MembershipUpdate(claim.name, claim.address, claim.incarnation, claim.standing, age, by)

    def _tell(self, now: int, news: MembershipUpdate) -> None:
        """Pass it on with the next datagrams, so often that all hear it with all but certainty."""
        if news.standing != MemberState.SUSPECT:
            for key in [k for k in self.told if k[0] == news.name]:
                del self.told[key]
        if len(self.told) < TOLD_MOST:
            self.told[news.name, news.by if news.standing == MemberState.SUSPECT else ""] = (news, 0, now)

    def _say(
        self, now: int, address: Address, kind: MessageKind, number: int, to: str, about: str = ""
    ) -> None:
        times = math.ceil(self.pace.repeats * math.log2(len(self.claims) + 2))
        carried, left = list[MembershipUpdate](), MAX_DATAGRAM_BYTES - HEAD_MOST
        accused = self.claims.get(to)
        if accused is not None and accused.standing is not MemberState.ALIVE:  # the accused hears of it first
            carried.append(self._news(now, accused))
            left -= size_of(carried[0])
        least = heapq.nsmallest(CARRIED_MOST, self.told.items(), key=lambda item: item[1][1])
        for key, (news, count, since) in least:
            grown = (now - since) // MS if news.standing == MemberState.SUSPECT else 0
            aged = msgspec.structs.replace(news, age_ms=news.age_ms + grown)
            if (size := size_of(aged)) > left:
                break
            carried.append(aged)
            left -= size
            if count + 1 >= times:
                del self.told[key]
            else:
                self.told[key] = (news, count + 1, since)
        words = Message(
            VERSION,
            self.fleet,
            kind,
            number,
            self.name,
            self.address,
            self.incarnation,
            about,
            tuple(carried),
        )
        self.out.append(SendDatagram(address, encode(words)))
