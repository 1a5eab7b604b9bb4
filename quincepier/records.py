"""What the decision logic keeps of each upstream, request and attempt. Records only: nothing here decides.

How fast the latency estimate decays and how many requests an upstream remembers is given by the policy.
"""

from __future__ import annotations

from collections import deque

from quincepier.fading import Pace
from quincepier.interface import Endpoint, HomeShard, RequestClass, RequestReceived, Settings
from quincepier.keys import mix

SECOND = 1_000_000_000  # ns


class Node:
    """A cache, a parent or the origin of the endpoint list."""

    def __init__(self, machine: Endpoint, pace: Pace, recent: int) -> None:
        self.machine = machine
        self.cold_at = machine.up_since  # its last start, as told or as guessed
        self.heard, self.failed = 0, 0.0  # its last sign of work, and the attempts broken off since
        self.denied: Node | None = None  # the cache by which it gave nothing last
        self.suspect, self.trial_at, self.wait = False, 0, 0
        self.leaving = 0  # when what was recalled ends
        self.credit, self.paid, self.drawn = 0.0, -1, -1  # cold budget: work to send, when earned, when begun
        self.pace, self.step = pace, 0  # its part of the keys is halved by two steps
        self.out: dict[tuple[int, int], Attempt] = {}
        self.recent: deque[int] = deque(maxlen=recent)  # objects last asked for


class Request:
    """A request from when it was received until its final answer."""

    def __init__(self, e: RequestReceived, s: Settings, tier: int, now: int, home: HomeShard | None) -> None:
        self.e, self.tier, self.came = e, tier, now
        self.cls: RequestClass = s.classes[e.cls]
        self.deadline = now + e.time_left
        self.sent, self.held, self.begun = 0, False, False
        self.first_ran: tuple[int, Endpoint] | None = None  # when and where one first may have run
        self.avoid: list[Node] = []
        self.home = home  # where its key lives; None: on any machine
        self.key = mix(e.object, e.part)
        self.open: dict[int, Attempt] = {}
        kb = s.client_kb_per_s
        self.told = e.size_kb / kb * SECOND if kb else 0.0  # its sending time, where sizes are told


class Attempt:
    """One sending of a request to an upstream, until its completion is told."""

    def __init__(self, req: Request, no: int, at: int, node: Node, source: Node | None) -> None:
        self.req, self.no, self.at, self.node, self.source = req, no, at, node, source
        self.fill, self.look, self.held = False, False, False
        self.work = 0.0  # as booked to cold machines
