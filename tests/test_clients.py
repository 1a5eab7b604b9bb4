"""Admission of clients: caps by network, the order of eviction, no churn at the limit; the ready queue."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepier.clients import AdmissionResult, ConnectionLimits, ConnectionRegistry, ReadyQueue
from quincepier.clients.section import ClientNetworks, ClientsSection
from quincepier.operator import OperatorError, read

MS = 1_000_000


def make_full_registry(limits: ConnectionLimits, *networks: tuple[str, int]) -> ConnectionRegistry[str]:
    """Return a registry of idle connections, each named by its network and number, in order of admission."""
    registry: ConnectionRegistry[str] = ConnectionRegistry(limits)
    now = 0
    for network, count in networks:
        for n in range(count):
            now += MS
            assert registry.admit(f"{network}{n}", network, now)[0] is AdmissionResult.ADMITTED
            registry.on_request(f"{network}{n}")
            registry.on_idle(f"{network}{n}", now)
    return registry


def test_by_default_age_alone_decides() -> None:
    registry: ConnectionRegistry[str] = ConnectionRegistry(ConnectionLimits(3))
    for n, connection in enumerate(("a", "b", "c")):
        registry.admit(connection, "", n)
    late = 600 * MS
    registry.on_request("b")
    registry.on_idle("b", 5)
    assert registry.find_evictable(10) == "b"  # a new connection has time for its first request
    assert registry.find_evictable(late) == "a"  # a new one whose time has passed goes first
    registry.on_request("a")
    registry.on_request("c")
    assert registry.admit("d", "", late) == (AdmissionResult.ADMITTED, ["b"])
    soon, later = late + 49 * MS, late + 50 * MS
    assert registry.admit("e", "", soon) == (
        AdmissionResult.LIMIT_REACHED,
        [],
    )  # its request may be on its way
    assert registry.admit("e", "", later) == (AdmissionResult.ADMITTED, ["d"])  # none is idle: the new one
    registry.on_request("e")
    assert registry.admit("f", "", 2 * later) == (AdmissionResult.LIMIT_REACHED, [])  # all are busy


@pytest.mark.parametrize("max_closed_at_once", [1, 3])
def test_a_connection_found_closed_makes_room_and_no_further_one_is_closed(max_closed_at_once: int) -> None:
    """Guards against: the one to close was closed by its client by now, and the new one is not admitted."""
    limits = ConnectionLimits(4, max_closed_at_once=max_closed_at_once)

    def is_evictable(name: str, spares_partial: bool) -> bool:
        registry.remove(name)
        return True

    registry = ConnectionRegistry[str](limits, is_evictable)
    for name in "abcd":
        registry.admit(name, "", 0)
        registry.on_request(name)
        registry.on_idle(name, 1)
    assert registry.admit("new", "", 2) == (AdmissionResult.ADMITTED, ["a"])
    assert len(registry) == 4


def test_an_idle_connection_that_reads_on_hides_no_other_from_the_search() -> None:
    """Guards against: the time of one is renewed in its place, and those behind it are not looked at."""
    registry = ConnectionRegistry[str](ConnectionLimits(3, min_idle_time=100))
    for name in "abc":
        registry.admit(name, "", 0)
        registry.on_request(name)
        registry.on_idle(name, 1)
    registry.on_idle("a", 500)
    assert registry.admit("new", "", 520) == (AdmissionResult.ADMITTED, ["b"])


def test_one_large_network_makes_room_for_itself_and_for_small_ones() -> None:
    registry = make_full_registry(ConnectionLimits(100), ("small", 4), ("large", 96))
    now = 10_000 * MS
    closed_now = [registry.admit(f"more{n}", "large", now + n)[1][0] for n in range(50)]
    closed_now += [registry.admit(f"new{n}", f"other{n}", now + 100 + n)[1][0] for n in range(20)]
    assert not any(connection.startswith("small") for connection in closed_now) and len(set(closed_now)) == 70


def test_clients_that_reconnect_at_the_limit_are_rejected_without_churn() -> None:
    """200 clients reconnect when closed: with a minimum idle time few are closed, else all in turn."""
    closed = {}
    for min_idle_time in (0, 5000 * MS):
        registry, now, closed_count = (
            ConnectionRegistry[int](ConnectionLimits(100, min_idle_time=min_idle_time, max_closed_at_once=4)),
            0,
            0,
        )
        waiting = list(range(200))
        for _ in range(2000):
            now += MS
            connection = waiting.pop(0)
            result, closed_now = registry.admit(connection, "crowd", now)
            if result is AdmissionResult.ADMITTED:
                registry.on_request(connection)
                registry.on_idle(connection, now)
            else:
                waiting.append(connection)
            waiting += closed_now
            closed_count += len(closed_now)
        closed[min_idle_time] = closed_count
    assert closed[0] > 1800 and closed[5000 * MS] <= 50, closed


def test_caps_of_networks_and_of_all() -> None:
    registry: ConnectionRegistry[int] = ConnectionRegistry(ConnectionLimits(100, max_per_network=2))
    assert [registry.admit(n, "a", n)[0] for n in range(2)] == [AdmissionResult.ADMITTED] * 2
    registry.on_request(0)
    registry.on_request(1)
    assert registry.admit(2, "a", 5)[0] is AdmissionResult.NETWORK_LIMIT_REACHED
    registry.on_idle(0, 6)
    assert registry.admit(2, "a", 7) == (AdmissionResult.ADMITTED, [0])  # an idle one of the same network
    assert [registry.admit(n, "b", 8, cap=3)[0] for n in (10, 11, 12)] == [AdmissionResult.ADMITTED] * 3


def test_idle_time_is_limited_by_the_operators_file() -> None:
    registry: ConnectionRegistry[str] = ConnectionRegistry(ConnectionLimits(10, max_idle_time=100))
    registry.admit("a", "", 0)
    assert registry.idle_deadline("a") is None
    registry.on_request("a")
    registry.on_idle("a", 50)
    assert registry.idle_deadline("a") == 150
    registry.on_request("a")
    assert registry.idle_deadline("a") is None and registry.idle_deadline("gone") is None


@settings(derandomize=True, max_examples=200)
@given(st.integers(0, 2**32), st.integers(1, 12), st.integers(0, 5), st.integers(1, 4))
def test_counts_hold_and_busy_connections_stay(
    seed: int, max_connections: int, max_per_network: int, max_closed_at_once: int
) -> None:
    rng = random.Random(seed)
    registry: ConnectionRegistry[int] = ConnectionRegistry(
        ConnectionLimits(
            max_connections,
            max_per_network=max_per_network,
            min_idle_time=rng.randrange(50),
            max_closed_at_once=max_closed_at_once,
            first_request_grace=20,
            min_new_time=rng.randrange(0, 20, 10),
        )
    )
    network_by_connection: dict[int, str] = {}
    busy: set[int] = set()
    for step in range(150):
        now = step * 7
        action = rng.randrange(5)
        connection = (
            rng.choice(list(network_by_connection)) if network_by_connection and action else 1000 + step
        )
        if action == 0 or not network_by_connection:
            network = rng.choice("abc")
            result, closed_now = registry.admit(connection, network, now)
            assert not set(closed_now) & busy and set(closed_now) <= set(
                network_by_connection
            ), "busy connections stay"
            for evicted in closed_now:
                del network_by_connection[evicted]
            if result is AdmissionResult.ADMITTED:
                network_by_connection[connection] = network
        elif action == 1:
            registry.on_request(connection)
            busy.add(connection)
        elif action in (2, 3):
            registry.on_idle(connection, now)
            busy.discard(connection)
        else:
            registry.remove(connection)
            del network_by_connection[connection]
            busy.discard(connection)
        assert len(registry) == len(network_by_connection) <= max_connections
        sizes = {
            name: list(network_by_connection.values()).count(name)
            for name in set(network_by_connection.values())
        }
        assert {name: n.size for name, n in registry.network_by_name.items()} == sizes
        assert not max_per_network or max(sizes.values(), default=0) <= max_per_network


def test_ready_queue_serves_a_bounded_number_per_turn_in_order() -> None:
    queue: ReadyQueue[int] = ReadyQueue(3)
    queue.start_turn()
    served = [n for n in range(10) if queue.serve_or_enqueue(n)]
    assert served == [0, 1, 2] and list(queue.waiting) == list(range(3, 10)) and not queue.serve_or_enqueue(3)
    queue.remove(4)
    assert queue.start_turn() == [3, 5, 6]
    assert not queue.serve_or_enqueue(20)  # behind those that wait
    assert queue.start_turn() == [7, 8, 9] and queue.start_turn() == [20]
    assert queue.serve_or_enqueue(21) and queue.max_length == 7


def test_the_section_finds_the_network_and_cap_of_an_address() -> None:
    file = read("""
clients:
  networks:
    - {network: 10.0.0.0/8, connections: 50}
    - {network: 10.1.0.0/16, connections: 5}
    - {network: "2001:db8::/32", connections: 7}
  each: 20
  rest_most_s: 60
""", "op.yaml")  # fmt: skip
    section = file.get(ClientsSection)
    assert section is not None
    networks = ClientNetworks(section)
    hosts = "10.1.2.3", "10.2.0.1", "192.0.2.9", "2001:db8::1", "::1", ""
    assert {host: networks.find_network(host) for host in hosts} == {
        "10.1.2.3": ("10.1.0.0/16", 5), "10.2.0.1": ("10.0.0.0/8", 50), "192.0.2.9": ("192.0.2.0/24", 0),
        "2001:db8::1": ("2001:db8::/32", 7), "::1": ("::/56", 0), "": ("", 0),
    }  # fmt: skip
    limits = networks.make_limits(400)
    assert (
        limits.max_connections,
        limits.max_per_network,
        limits.max_idle_time,
        limits.max_closed_at_once,
    ) == (
        400,
        20,
        60_000 * MS,
        8,
    )
    with pytest.raises(OperatorError, match=r"clients\.networks\.0\.network.*is not a network"):
        read("clients: {networks: [{network: ten, connections: 1}]}", "op.yaml")
    with pytest.raises(OperatorError, match="twice"):
        same = "{network: 1.0.0.0/8, connections: 1}, {network: 1.2.0.0/8, connections: 2}"
        read(f"clients: {{networks: [{same}]}}", "op.yaml")
