"""The package addresses, without I/O: grammar, preference, order, address book, all orders of small races."""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepier.addresses import (
    Address,
    AddressBook,
    AddressError,
    CancelDial,
    Candidate,
    Cause,
    DialLimiter,
    Limits,
    Preference,
    RaceLost,
    Races,
    RaceWon,
    ScheduleTick,
    StartDial,
    order_candidates,
    outcome_after_break,
    parse,
    parse_term,
)
from quincepier.addresses.order import precedence
from quincepier.interface import AttemptOutcome

MS = 1_000_000
V4, V6, UNIX = parse("127.0.0.1:1"), parse("[::1]:1"), parse("unix:/s")
FAR = parse("10.0.0.1:1")

# Grammar

octets = st.integers(0, 255)
ports = st.integers(1, 65535)
names = st.text(st.characters(exclude_categories=["Cc", "Cs"]), min_size=1, max_size=20)
texts = st.one_of(
    st.builds("{}.{}.{}.{}:{}".format, octets, octets, octets, octets, ports),
    st.builds(lambda ip, port: f"[{ip}]:{port}", st.ip_addresses(v=6), ports),
    st.builds("tcp://{}.1.2.3:{}".format, octets, ports),
    names.filter(lambda name: not name.startswith("/")).map("unix:/{}".format),
    names.map("unix:@{}".format),
)


@settings(derandomize=True, max_examples=300)
@given(texts)
def test_what_is_written_is_read_again_as_the_same_address(text: str) -> None:
    address = parse(text)
    assert parse(str(address)) == address


@settings(derandomize=True, max_examples=300)
@given(st.one_of(st.text(max_size=40), texts.map(lambda text: text[:-1] + "x"), st.binary(), st.none()))
def test_any_other_text_is_refused_with_a_column(text: object) -> None:
    try:
        address = parse(text)
    except AddressError as error:
        assert 1 <= error.column <= len(str(text)) + 1 and error.expected
    else:
        assert parse(str(address)) == address


@pytest.mark.parametrize(
    ("text", "column"),
    [
        ("", 1), ("localhost:1", 1), ("127.0.0.1", 10), ("127.0.0.256:1", 9), ("127.0.0.01:1", 10),
        ("127.0.0.1:0", 11), ("127.0.0.1:70000", 11), ("127.0.0.1:1 ", 12), ("[::1]", 6), ("[::g]:1", 4),
        ("[1:2]:1", 2), ("[fe80::1%eth0]:1", 9), ("unix:s", 6), ("unix:///s", 6), ("unix:/a\0b", 8),
        ("unix:/" + "p" * 107, 6), ("unix:@" + "n" * 108, 6), ("udp://1.2.3.4:5", 1), ("x" * 300, 257),
    ],
)  # fmt: skip
def test_each_fault_of_an_address_has_its_column(text: str, column: int) -> None:
    with pytest.raises(AddressError) as caught:
        parse(text)
    assert caught.value.column == column


def test_forms_that_mean_one_address_are_one() -> None:
    assert parse("[0:0:0:0:0:0:0:1]:80") == parse("tcp://[::1]:80")
    assert parse("[::ffff:10.0.0.1]:80") == parse("10.0.0.1:80")  # a mapped address is forbidden as IPv4
    assert parse("unix:/" + "p" * 106).target == "/" + "p" * 106
    assert parse("unix:@name").target == b"\0name"


# Preference and order


def test_operators_prefer_and_forbid_families_and_networks() -> None:
    preference = Preference(
        [parse_term("10.0.0.0/8"), parse_term("unix")], [parse_term("10.9.0.0/16"), parse_term("ipv6")]
    )
    assert [preference.grade(a) for a in (FAR, UNIX, V4)] == [0, 1, 2]
    admitted = [preference.is_allowed(parse(t)) for t in ("10.8.0.1:1", "10.9.1.1:1", "[::1]:1", "unix:/s")]
    assert admitted == [True, False, False, True]
    assert not Preference(forbid=[parse_term("unix")]).is_allowed(UNIX)
    for text in ("ipv5", "10.0.0.0/33", "unix:/s", ""):
        with pytest.raises(AddressError):
            parse_term(text)


def candidate(address: Address, grade: int = 0, backoff_until: int = 0, last_response: int = 0) -> Candidate:
    return Candidate(address, precedence(address), grade, backoff_until, last_response)


def test_order_is_grade_then_last_response_then_alternating_families_then_backoff() -> None:
    six = [parse(f"[2001:db8::{n}]:1") for n in range(1, 4)]
    four = [parse(f"192.0.2.{n}:1") for n in range(1, 3)]
    plain = order_candidates([candidate(a) for a in (*four, *six, UNIX)])
    assert [c.address for c in plain] == [UNIX, six[0], four[0], six[1], four[1], six[2]]
    local = parse("[fd00::1]:1")  # RFC 6724: unique local addresses come after IPv4
    assert [c.address for c in order_candidates([candidate(local), candidate(four[0])])] == [four[0], local]
    mixed = [
        candidate(six[0], grade=1),
        candidate(four[0], grade=0, backoff_until=9),
        candidate(four[1], grade=1, last_response=3),
        candidate(UNIX, grade=0, backoff_until=5),
        candidate(six[1], grade=0),
    ]
    assert [c.address for c in order_candidates(mixed)] == [six[1], four[1], six[0], UNIX, four[0]]


# The book


def make_book(*addresses: Address, **limits: int) -> AddressBook:
    book = AddressBook(Limits(**limits), Preference(), 7)
    book.replace_addresses(addresses)
    return book


def test_a_failed_address_backs_off_longer_each_time_and_is_usable_again_afterwards() -> None:
    book, now, waits = make_book(V4, V6), 1000 * MS, []
    for _ in range(8):
        assert book.on_failure(V4, now, now)
        assert (
            book.is_backing_off(V4, now)
            and book.has_alternative(V4, now)
            and book.order(now)[0].address == V6
        )
        waits.append(book.state_by_address[V4].backoff_until - now)
        now = book.state_by_address[V4].backoff_until
        assert not book.is_backing_off(V4, now)
    assert all(0.7 * 200 * MS * 2**n <= wait <= 1.3 * 200 * MS * 2**n for n, wait in enumerate(waits[:5]))
    assert max(waits) <= 1.25 * 10_000 * MS
    book.on_response(V4)
    book.on_failure(V4, now + 1, now + 1)
    assert book.state_by_address[V4].backoff_until - now < 300 * MS  # a response resets the backoff


def test_many_dials_under_way_that_fail_together_are_one_failure() -> None:
    book = make_book(V4, V6)
    assert [book.on_failure(V4, 5 * MS, 10 * MS + n) for n in range(50)] == [True] + [False] * 49
    assert book.state_by_address[V4].failures == 1


def test_backoffs_are_restored_after_a_restart_and_earlier_responses_are_not() -> None:
    book, now = make_book(V4, V6, UNIX), 1000 * MS
    for _ in range(4):
        book.on_failure(
            V4, book.state_by_address[V4].backoff_until or now, book.state_by_address[V4].backoff_until or now
        )
    now = book.state_by_address[V4].backoff_began_at
    book.on_response(V6)
    (backoff,) = book.list_backoffs(now)
    remaining = backoff[2]
    assert backoff[1] == 4 and remaining == book.state_by_address[V4].backoff_until - now
    for age, is_restored in ((100 * MS, True), (remaining, False), (60_000 * MS, False)):
        new = make_book(V4, V6, UNIX)
        assert new.restore_backoffs([(backoff[0], backoff[1], remaining - age)], 5 * MS) == is_restored
        assert new.is_backing_off(V4, 5 * MS) == is_restored and not new.is_backing_off(V6, 5 * MS)
        assert new.order(5 * MS)[0].address in (V6, UNIX) or not is_restored
        assert all(not e.last_response for e in new.state_by_address.values())
    limited = make_book(V4, max_backoff=500)
    limited.restore_backoffs([(backoff[0], 4, 10**15)], 0)
    assert limited.state_by_address[V4].backoff_until <= 500  # never longer than the operators allow


def test_an_address_that_only_accepts_stays_in_backoff() -> None:
    book, now = make_book(V4, V6), 1000 * MS
    book.on_failure(V4, now, now)
    now = book.state_by_address[V4].backoff_until
    assert book.on_dial_started(V4, 1, now) and book.is_backing_off(
        V4, now
    )  # on trial: no other dial may use it
    book.on_dial_ended(V4, 1)
    book.on_connected(V4, MS, now)
    assert book.is_backing_off(V4, now)
    book.on_failure(V4, now + 1, now + 1)
    assert book.state_by_address[V4].failures == 2
    book.on_response(V4)
    assert not book.is_backing_off(V4, now)


def test_the_stagger_is_learnt_and_bounded_at_both_ends() -> None:
    book = make_book(V4)
    assert book.stagger == 30 * MS
    for _ in range(50):
        book.on_connected(V4, MS // 10, 0)
    assert book.stagger == 10 * MS
    for _ in range(50):
        book.on_connected(V4, 20 * MS, 0)
    assert 20 * MS <= book.stagger <= 60 * MS
    for _ in range(50):
        book.on_connected(V4, 400 * MS, 0)
    assert book.stagger == 60 * MS


def test_a_new_list_keeps_what_is_known_of_the_addresses_that_stay() -> None:
    book = make_book(V4, V6)
    book.on_failure(V4, 1, 1)
    assert book.replace_addresses([V4, UNIX, UNIX]) == {V6}
    assert book.is_backing_off(V4, 2) and list(book.state_by_address) == [V4, UNIX]
    assert book.on_failure(V6, 1, 1) is False  # it left the list: nothing is kept of it
    assert book.replace_addresses([]) == {V4, UNIX} and book.order(5) == []


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 2), st.integers(0, 3000)), max_size=60))
def test_no_address_is_lost_and_none_backs_off_for_ever(steps: list[tuple[int, int, int]]) -> None:
    addresses = (V4, V6, UNIX)
    book, now = make_book(*addresses), 1000 * MS
    for event, index, wait in steps:
        address, now = addresses[index], now + wait * MS
        match event:
            case 0 | 1:
                book.on_failure(address, now - event * MS, now)
            case 2:
                book.on_response(address)
            case 3:
                book.on_connected(address, wait * MS, now)
            case 4:
                book.on_dial_started(address, 9, now)
            case 5:
                book.on_dial_ended(address, 9)
        order = book.order(now)
        assert sorted(str(c.address) for c in order) == sorted(map(str, addresses))
        is_backing_off = [bool(c.backoff_until) for c in order]
        assert is_backing_off == sorted(is_backing_off)  # addresses in backoff come last
        assert all(entry.backoff_until <= now + 12_500 * MS for entry in book.state_by_address.values())
        assert 10 * MS <= book.stagger <= 60 * MS


# Races


@dataclass
class World:
    """Simulates races: keeps the events and actions, and checks each action."""

    races: Races
    now: int = 1000 * MS
    live: set[int] = field(default_factory=set)
    result_by_race: dict[int, str] = field(default_factory=dict)
    dials: dict[int, tuple[int, Address]] = field(default_factory=dict)  # in progress: their race and address
    failed: dict[int, set[Address]] = field(
        default_factory=dict
    )  # by race: its own failures, and those of trials
    dialled: dict[int, list[Address]] = field(default_factory=dict)
    wake: int = 0

    def __deepcopy__(self, memo: dict[int, object]) -> World:
        book = self.races.book
        for same in (book.limits, book.preference, book.random, V4, V6, UNIX, *Cause):
            memo[id(same)] = same
        races = copy.deepcopy(self.races, memo)
        other = World(races, self.now, set(self.live), dict(self.result_by_race), dict(self.dials))
        other.failed = {race: set(addresses) for race, addresses in self.failed.items()}
        other.dialled = {race: list(addresses) for race, addresses in self.dialled.items()}
        other.wake = self.wake
        return other

    def start(self) -> int:
        number, actions = self.races.start(self.now)
        self.live.add(number)
        self.failed[number], self.dialled[number] = set(), []
        self.take(actions)
        return number

    def end(self, dial: int, cause: Cause | None) -> None:
        race, address = self.dials.pop(dial)
        if cause is None:
            self.take(self.races.on_connected(dial, self.now))
            return
        trial = self.races.book.state_by_address[address].trial_dial == dial
        for other in self.live if trial else {race}:
            self.failed[other].add(address)
        self.take(self.races.on_dial_failed(dial, cause, self.now))

    def drop(self, race: int) -> None:
        self.live.discard(race)
        self.result_by_race[race] = "dropped"
        self.take(self.races.cancel(race, self.now))

    def tick(self) -> None:
        self.now, self.wake = max(self.now, self.wake), 0
        self.take(self.races.tick(self.now))

    def take(self, actions: Sequence[object]) -> None:
        book = self.races.book
        for action in actions:
            match action:
                case StartDial(race, dial, address):
                    assert race in self.live and address in book.state_by_address
                    assert address not in self.dialled[race], "a race dials an address once"
                    self.dialled[race].append(address)
                    self.dials[dial] = race, address
                case CancelDial(dial):
                    self.dials.pop(dial, None)
                case RaceWon(race, dial, address):
                    assert race in self.live
                    self.live.remove(race)
                    self.result_by_race[race] = "won"
                case RaceLost(race):
                    assert race in self.live
                    assert (
                        set(book.state_by_address) <= self.failed[race]
                    ), "every address has failed for the race"
                    self.live.remove(race)
                    self.result_by_race[race] = "lost"
                case ScheduleTick(at):
                    self.wake = at
        assert len(self.dials) <= book.limits.max_dials_per_machine
        assert {race for race, _ in self.dials.values()} <= self.live, "dials belong to live races"
        assert self.races.limiter.in_use == len(self.dials)
        assert set(self.races.race_by_number) == self.live
        for entry in book.state_by_address.values():
            assert not entry.trial_dial or entry.trial_dial in self.dials
        for race in self.live - {race for race, _ in self.dials.values()}:
            full = len(self.dials) >= max(book.limits.max_dials_per_machine // 2, 1)
            assert full or any(
                e.trial_dial for e in book.state_by_address.values()
            ), f"race {race} waits, but for nothing"

    def key(self) -> object:
        """Return the state that decides all that can follow, with relative numbers and times."""
        book, races = self.races.book, self.races.race_by_number.values()
        order, now = {race.number: n for n, race in enumerate(races)}, self.now
        entries = [
            (
                str(e.address),
                e.failures,
                max(e.backoff_until - now, 0) if e.backoff_until else -1,
                bool(e.trial_dial),
                e.backoff_began_at - now,
            )
            for e in book.state_by_address.values()
        ]
        in_progress = sorted(
            (order[r], str(a), self.races.dial_by_number[d].started_at - now)
            for d, (r, a) in self.dials.items()
        )
        running = [
            (
                sorted(map(str, r.cause_by_address)),
                max(r.next_dial_at - now, 0),
                r.awaits_trials,
                r.is_timing_unreliable,
            )
            for r in races
        ]
        return repr(
            (
                entries,
                in_progress,
                running,
                max(self.wake - now, 0),
                len(self.result_by_race),
                self.races.race_count,
            )
        )


class MeanRandom(random.Random):
    """Returns the mean, so that only the order of events matters."""

    def uniform(self, a: float, b: float) -> float:
        return (a + b) / 2


def outcomes(world: World, max_races: int, is_removed: bool) -> Iterator[World]:
    """Return every state that one more event leads to."""
    for dial in list(world.dials):
        for cause in (None, Cause.REFUSED, Cause.RESET, Cause.LOCAL_RESOURCES):
            after = copy.deepcopy(world)
            after.end(dial, cause)
            yield after
    for race in list(world.live):  # the client disconnected, or a drain or a purge revoked the attempt
        after = copy.deepcopy(world)
        after.drop(race)
        yield after
    if world.wake:
        after = copy.deepcopy(world)
        after.tick()
        yield after
    if world.races.race_count < max_races:
        after = copy.deepcopy(world)
        after.start()
        yield after
    # The endpoint list loses an address during a race.
    if is_removed and len(world.races.book.state_by_address) > 1 and world.live:
        after = copy.deepcopy(world)
        first = next(iter(after.races.book.state_by_address))
        after.races.book.replace_addresses([a for a in after.races.book.state_by_address if a != first])
        after.take(after.races.on_addresses_replaced(after.now))
        yield after


@pytest.mark.parametrize(
    ("addresses", "races", "max_dials", "is_removed"),
    [(1, 2, 8, False), (2, 2, 8, True), (3, 1, 8, True), (3, 2, 2, False), (2, 3, 1, False)],
)
def test_every_ordering_of_small_races(addresses: int, races: int, max_dials: int, is_removed: bool) -> None:
    """Searches all orders of dials that end, time, new races, disconnecting clients and list changes."""
    book = make_book(*(V4, V6, UNIX)[:addresses], max_dials_per_machine=max_dials)
    book.random = MeanRandom()
    first = World(Races(book, DialLimiter(64)))
    first.start()
    seen, pending, ends = {first.key()}, [first], 0
    while pending:
        world = pending.pop()
        if not world.live and world.races.race_count == races:
            assert not world.dials and len(world.result_by_race) == races
            ends += 1
            continue
        for after in outcomes(world, races, is_removed):
            if (key := after.key()) not in seen:
                seen.add(key)
                pending.append(after)
    assert ends and len(seen) > 20


def settle(world: World, reachable: set[Address], max_steps: int = 2000) -> None:
    """Let dials to V4 be refused and those to reachable addresses connect; all others never end."""
    for _ in range(max_steps):
        if not world.live:
            return
        ready = [d for d, (_, a) in world.dials.items() if a in reachable]
        refused = [d for d, (_, a) in world.dials.items() if a == V4]
        if refused:
            world.end(refused[0], Cause.REFUSED)
        elif ready:
            world.now += MS // 10
            world.end(ready[0], None)
        else:
            world.tick()
    raise AssertionError("the races do not end")


def test_hundreds_of_connections_share_at_once_that_an_address_refuses() -> None:
    world = World(Races(make_book(V4, V6), DialLimiter(64)))
    # All connections have used V4 so far.
    world.races.book.state_by_address[V4].last_response = world.races.book.response_count = 1
    for _ in range(300):
        world.start()
    settle(world, {V6})
    refused = sum(a == V4 for dialled in world.dialled.values() for a in dialled)
    assert set(world.result_by_race.values()) == {"won"} and refused <= 4, refused


def test_hundreds_of_connections_share_at_once_that_an_address_is_silent() -> None:
    world = World(Races(make_book(UNIX, V6), DialLimiter(64)))  # UNIX neither accepts nor refuses
    for _ in range(300):
        world.start()
    settle(world, {V6})
    silent = sum(a == UNIX for dialled in world.dialled.values() for a in dialled)
    assert set(world.result_by_race.values()) == {"won"} and silent <= 4, silent
    assert world.races.book.is_backing_off(UNIX, world.now)


def test_a_machine_that_is_gone_costs_hundreds_of_connections_a_handful_of_dials() -> None:
    world = World(Races(make_book(V4), DialLimiter(64)))
    for _ in range(300):
        world.start()
    settle(world, set())
    assert set(world.result_by_race.values()) == {"lost"} and world.races.dial_count <= 12


def test_the_slower_dial_is_cancelled_and_fails_only_after_a_whole_stagger() -> None:
    world = World(Races(make_book(V4, V6), DialLimiter(64)))
    world.start()
    world.tick()
    slow, quick = sorted(world.dials)
    world.end(quick, None)
    assert world.result_by_race == {1: "won"} and not world.dials
    assert world.races.on_connected(slow, world.now) == [CancelDial(slow)]  # both came up in one turn
    assert world.races.book.is_backing_off(V6, world.now)
    late = World(Races(make_book(V4, V6), DialLimiter(64)))
    late.start()
    late.now = late.wake + 2000 * MS  # the process was paused: that does not count against an address
    late.tick()
    late.end(max(late.dials), None)
    assert not late.races.book.is_backing_off(V6, late.now)


def test_without_a_spare_descriptor_a_race_has_one_dial() -> None:
    limiter = DialLimiter(64, lambda: False)
    world = World(Races(make_book(V4, V6), limiter))
    world.start()
    world.tick()
    assert len(world.dials) == 1 and world.races.extra_dials == 0 and limiter.pop_waiting() is world.races
    world.end(next(iter(world.dials)), Cause.TIMED_OUT)
    assert len(world.dials) == 1  # the next address, in its place
    world.end(next(iter(world.dials)), None)
    assert world.result_by_race == {1: "won"} and limiter.in_use == 0


def test_the_front_keeps_to_its_dials_and_leaves_some_to_those_that_fall_back() -> None:
    limiter = DialLimiter(4)
    worlds = [World(Races(make_book(V4, V6), limiter)) for _ in range(6)]
    for world in worlds:
        world.races.start(world.now)
    assert limiter.in_use == 3 and len(limiter.waiting) == 3  # one of four is kept for a second dial
    first = worlds[0].races
    assert [type(a) for a in first.tick(worlds[0].now + 40 * MS)] == [
        StartDial,
        ScheduleTick,
    ] and limiter.in_use == 4
    assert limiter.pop_waiting() is None
    first.cancel(1, worlds[0].now)
    assert limiter.in_use == 2 and limiter.pop_waiting() is worlds[3].races


def test_a_race_is_lost_as_absent_only_where_nobody_is_there() -> None:
    for causes, absent in (
        ((Cause.REFUSED, Cause.MISSING), True),
        ((Cause.TIMED_OUT, Cause.UNREACHABLE), True),
        ((Cause.REFUSED, Cause.RESET), False),
        ((Cause.LOCAL_RESOURCES, Cause.REFUSED), False),
    ):
        races, now = Races(make_book(V4, V6), DialLimiter(8)), 1000 * MS
        _, actions = races.start(now)
        for cause in causes:
            (dial,) = [a.dial for a in actions if isinstance(a, StartDial)]
            actions = races.on_dial_failed(dial, cause, now)
        assert [a.is_absent for a in actions if isinstance(a, RaceLost)] == [absent]
        entries = sorted(races.book.state_by_address.values(), key=lambda e: -e.precedence)
        blamed = [entry.failures > 0 for entry in entries]
        assert blamed == [cause is not Cause.LOCAL_RESOURCES for cause in causes]


def test_machine_without_an_allowed_address_is_lost_at_once() -> None:
    book = AddressBook(Limits(), Preference(forbid=[parse_term("ipv4")]), 1)
    book.replace_addresses([V4])
    _, actions = Races(book, DialLimiter(8)).start(0)
    assert [type(a) for a in actions] == [RaceLost]


# One attempt: all orders of events, with a drain, purge or disconnected client between any two steps


def test_every_ordering_of_one_attempt_sends_it_whole_at_most_once() -> None:
    """Its connection is established or not; its bytes are sent not at all, in part or whole; it may break.

    A state is (step, moves, revoked, whole commands that the machine read, sent although revoked).
    """
    max_moves, ends = 3, set()
    pending = [("racing", 0, False, 0, False)]
    seen = set(pending)
    while pending:
        step, moves, is_revoked, read, late = pending.pop()
        assert read <= 1 and not late, "at most one whole command, and none sent after a drain or purge"
        after: list[tuple[str, int, bool, int, bool]] = []
        if step.startswith("ended"):
            ends.add((step, read))
            continue
        if not is_revoked:  # a drain, a deletion or a purge arrives
            after.append((step, moves, True, read, late))
        after.append(("ended left", moves, is_revoked, read, late))  # the client disconnects
        match step:
            case "racing":
                after.append(("up", moves, is_revoked, read, late))
                for absent in (True, False):
                    outcome = outcome_after_break(False, absent, is_revoked, moves, 0)
                    after.append((f"ended {outcome}", moves, is_revoked, read, late))
            case "up" if is_revoked:  # checked right before the first byte
                after.append((f"ended {AttemptOutcome.NOT_PROCESSED}", moves, is_revoked, read, late))
            case "up":
                after += [
                    ("part out", moves, is_revoked, read, late),
                    ("out", moves, is_revoked, read + 1, late),
                ]
                after.append(("unsent", moves, is_revoked, read, late))
            case "unsent" | "part out" | "out":
                if step == "out":
                    after.append(("ended answered", moves, is_revoked, read, late))
                outcome = outcome_after_break(step != "unsent", False, is_revoked, moves, max_moves)
                after.append(("racing", moves + 1, is_revoked, read, late) if outcome is None else
                             (f"ended {outcome}", moves, is_revoked, read, late))  # fmt: skip
        for state in after:
            if state not in seen:
                seen.add(state)
                pending.append(state)
    whole = {step for step, read in ends if read}
    assert whole == {
        "ended left",
        "ended answered",
        f"ended {AttemptOutcome.RESET}",
    }, "an attempt that may have run is reported so"
    assert {step for step, read in ends if not read} >= {
        f"ended {AttemptOutcome.RESET}",
        f"ended {AttemptOutcome.NOT_PROCESSED}",
        f"ended {AttemptOutcome.CONNECT_FAILED}",
    }
