"""The consistency checker of one front: it responds to collectors, and collects digests itself if required.

The leader collects the digests of all fronts. Without a leader, the three members with the lowest name hashes
collect, independently of each other. Fronts send digests only to collectors, so the number of messages grows
linearly with the number of fronts. The checker does no I/O: it takes messages and times, and returns messages
and findings.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.consistency.decision import DecisionInputs, RankingCache
from quincepier.consistency.digest_collector import (
    CollectorOutput,
    DigestCollector,
    ListRevisionHistory,
    OutgoingMessage,
    RoundResult,
)
from quincepier.consistency.digest_responder import DigestResponder
from quincepier.consistency.errors import ConsistencyError
from quincepier.consistency.findings import Finding
from quincepier.consistency.messages import (
    ConsistencyVerdict,
    DigestRequest,
    DigestResponse,
    LeafRequest,
    LeafResponse,
    Message,
    SubtreeRequest,
    SubtreeResponse,
    decode,
    encode,
)
from quincepier.consistency.section import ConsistencySection

COLLECTORS_WITHOUT_LEADER = 3
MAX_HASHES_PER_SLICE = 2000  # about 5 ms, for which the front's other work is delayed
ROUND_ID_BITS = 40


@dataclass(slots=True, frozen=True)
class SendMessage:
    """An encoded message to be sent to a member."""

    to: str
    data: bytes


CheckerAction = SendMessage | Finding


class ConsistencyChecker:
    """Compares one front's rule decisions with those of the other fronts."""

    def __init__(
        self,
        name: str,
        seed: int,
        section: ConsistencySection | None = None,
        now_ns: int = 0,
        arithmetic: Arithmetic = STANDARD_ARITHMETIC,
        ranking_cache: RankingCache | None = None,
    ) -> None:
        """Create the checker of the front `name`; its first round as a collector starts at a random time."""
        self.last_result: RoundResult | None = None  # of the last round collected by this front
        self._invalid_messages = 0
        self._name = name
        self._section = section or ConsistencySection()
        self._round_interval_ns = self._section.round_interval_ns
        self._members = frozenset[str]((name,))
        self._leader = ""
        self._inputs: DecisionInputs | None = None
        draw = random.Random(seed)
        self._next_round_ns = now_ns + draw.randrange(self._round_interval_ns)
        self._round_id = draw.getrandbits(ROUND_ID_BITS)  # so that a new collector draws different samples
        self._responder = DigestResponder(name, self._round_interval_ns, arithmetic, ranking_cache)
        self._collector: DigestCollector | None = None
        self._list_history = ListRevisionHistory()
        self._unexplained_decisions = 0
        self._stale_rankings = 0
        self._diverged_version: int | None = None  # rule version at which this front was found to diverge
        self._local_messages: deque[Message] = deque()  # from this front to itself

    def on_view_changed(self, members: Iterable[str], leader: str) -> None:
        """Store the live members, which include this front, and the leader's name, "" without a leader."""
        self._members = frozenset(members) | {self._name}
        self._leader = leader
        self._responder.retain_collectors(self._members)

    def on_inputs_changed(self, inputs: DecisionInputs) -> None:
        """Store the front's new decision inputs, all taken at the same moment."""
        self._inputs = inputs

    def add_router_faults(self, unexplained_decisions: int = 0, stale_rankings: int = 0) -> None:
        """Count faults of this front's router; its next digest response reports them."""
        self._unexplained_decisions += unexplained_decisions
        self._stale_rankings += stale_rankings

    @property
    def is_cautious(self) -> bool:
        """Whether this front was found to diverge at its current rule version."""
        return self._inputs is not None and self._diverged_version == self._inputs.rule_version.number

    @property
    def dropped_messages(self) -> int:
        """Number of messages that were invalid, and of digest requests that arrived too early."""
        return self._invalid_messages + self._responder.rejected_requests

    def is_consistent(self, rule_version: int) -> bool | None:
        """Return whether all fronts decide alike by a rule version, or None if this front does not know."""
        result = self.last_result
        if result is None or result.rule_version != rule_version:
            return None
        if result.has_fault:
            return False
        return True if result.is_unanimous else None

    @property
    def collectors(self) -> tuple[str, ...]:
        """The members that currently collect digests."""
        if self._leader in self._members:
            return (self._leader,)
        by_hash = sorted(self._members, key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))
        return tuple(by_hash[:COLLECTORS_WITHOUT_LEADER])

    @property
    def next_tick_ns(self) -> int:
        """Time at which `on_tick` is due next; 0 if a slice of work is pending."""
        if self._responder.has_work:
            return 0
        is_collector = self._name in self.collectors
        due_ns = self._next_round_ns if is_collector else self._next_round_ns + self._round_interval_ns
        return due_ns if self._collector is None else min(due_ns, self._collector.next_tick_ns)

    def on_message(self, now_ns: int, sender: str, raw: bytes) -> list[CheckerAction]:
        """Handle a member's message; an invalid message is dropped and counted."""
        try:
            if sender not in self._members:
                raise ConsistencyError("not a member", sender[:64])
            return self._handle_local_messages(now_ns, self._handle(now_ns, sender, decode(raw)))
        except ConsistencyError:
            self._invalid_messages += 1
            return []

    def on_tick(self, now_ns: int) -> list[CheckerAction]:
        """Do one slice of work; start a round or retry requests if due."""
        actions = list[CheckerAction]()
        collector = self._responder.advance(MAX_HASHES_PER_SLICE)
        if collector is not None:
            actions += self._respond(collector)
        if now_ns >= self._next_round_ns:
            actions += self.start_round(now_ns) if self._name in self.collectors else []
            next_ns = self._next_round_ns + self._round_interval_ns
            self._next_round_ns = max(next_ns, now_ns + self._round_interval_ns // 2)
        if self._collector is not None:
            actions += self._dispatch(self._collector.on_tick(now_ns))
            self._store_result(self._collector)
        return self._handle_local_messages(now_ns, actions)

    def start_round(self, now_ns: int) -> list[CheckerAction]:
        """Start a round with this front's rule version."""
        if self._inputs is None:
            return []
        self._round_id += 1
        number = self._inputs.rule_version.number
        request = DigestRequest(self._round_id, number, self._section.sample_size)
        self._collector = DigestCollector(
            now_ns, request, self._members, self._list_history, self._section.max_list_lag_ns
        )
        return self._handle_local_messages(now_ns, self._dispatch(self._collector.on_tick(now_ns)))

    def _handle(self, now_ns: int, sender: str, message: Message) -> list[CheckerAction]:
        match message:
            case DigestRequest():
                return self._on_digest_request(now_ns, sender, message)
            case SubtreeRequest():
                return self._send(sender, self._responder.on_subtree_request(sender, message))
            case LeafRequest():
                return self._send(sender, self._responder.on_leaf_request(sender, message))
            case ConsistencyVerdict():
                self._diverged_version = None if message.is_consistent else message.rule_version
                return []
            case DigestResponse() | SubtreeResponse() | LeafResponse():
                return self._on_response(now_ns, sender, message)

    def _on_digest_request(self, now_ns: int, sender: str, request: DigestRequest) -> list[CheckerAction]:
        response = self._responder.on_digest_request(now_ns, sender, request, self._inputs)
        return [] if response is None else self._send(sender, response)

    def _on_response(
        self, now_ns: int, sender: str, response: DigestResponse | SubtreeResponse | LeafResponse
    ) -> list[CheckerAction]:
        collector = self._collector
        if collector is None:
            return []
        if isinstance(response, DigestResponse):
            actions = self._dispatch(collector.on_digest_response(now_ns, sender, response))
        else:
            actions = self._dispatch(collector.on_tree_response(now_ns, sender, response))
        self._store_result(collector)
        return actions

    def _respond(self, collector: str) -> list[CheckerAction]:
        """Send the digests of a complete snapshot and the faults counted since the last response."""
        response = self._responder.complete(
            collector, self._unexplained_decisions, self._stale_rankings, self._diverged_version
        )
        self._unexplained_decisions = 0
        self._stale_rankings = 0
        return self._send(collector, response)

    def _store_result(self, collector: DigestCollector) -> None:
        if collector.result is not None:
            self.last_result = collector.result

    def _send(self, to: str, message: Message) -> list[CheckerAction]:
        if to == self._name:
            self._local_messages.append(message)
            return []
        return [SendMessage(to, encode(message))]

    def _dispatch(self, outputs: Iterable[CollectorOutput]) -> list[CheckerAction]:
        actions = list[CheckerAction]()
        for output in outputs:
            if isinstance(output, OutgoingMessage):
                actions += self._send(output.to, output.message)
            else:
                actions.append(output)
        return actions

    def _handle_local_messages(self, now_ns: int, actions: list[CheckerAction]) -> list[CheckerAction]:
        """Handle the messages that this front has sent to itself."""
        while self._local_messages:
            try:
                actions += self._handle(now_ns, self._name, self._local_messages.popleft())
            except ConsistencyError:
                self._invalid_messages += 1
        return actions
