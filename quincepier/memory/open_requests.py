"""Open requests and their attempts. Numbers are the module's, not used again while they may matter."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

NUMBERS = 1 << 32  # the module's request numbers lie below


class Owner(Protocol):
    """Whoever asked, and gets the answer."""

    def push(self, answer: Any) -> None: ...


@dataclass(slots=True, eq=False)
class OpenRequest:
    """What a client asked, as taken from its connection. `came` is when its last byte was read."""

    owner: Owner
    stream: int  # the request's number on that connection
    job: str
    cls: int
    class_name: str
    item: str
    object: int
    part: int
    group: int
    repeat: bool
    known: str
    allow: int
    came: int
    body: bytes
    idempotency_key: str = ""  # of a write whose repeats the caches drop by it; passed on unchanged
    number: int = -1
    over: bool = False  # it has its final answer, or the client has left
    gone: bool = False  # its client closed or cancelled: set by its connection before the module hears
    tenant: str = ""  # where fronts settle homes of tenants: whose it is, and at which shard it was placed
    shard: str = ""
    attempts: list[OpenAttempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class OpenAttempt:
    request: OpenRequest
    no: int
    cache: int
    at: int
    source: int = -1
    ended: bool = False
    recalled: bool = False  # at a purge, or as its cache or source leaves: its first byte is not to go out
    latest: int = 0  # from this moment on its first byte would be a repeat that may do harm; 0: never

    def barred(self, now: int) -> bool:
        """Whether its first byte is not to go out any more, wherever it waits."""
        unasked = self.request.gone or self.request.over
        return unasked or self.recalled or 0 < self.latest <= now


class OpenRequestTable:
    """Requests by number, kept until they are over and none of their attempts is out."""

    def __init__(self, most: int) -> None:
        self.most, self.next = most, 1
        self.open: dict[int, OpenRequest] = {}
        self.jobs: set[str] = set()  # ids of the open ones: none of them goes out for anything else
        self.unanswered = self.taken = 0

    @property
    def full(self) -> bool:
        return len(self.open) >= self.most

    def add(self, request: OpenRequest) -> None:
        while self.next in self.open:
            self.next = self.next % (NUMBERS - 1) + 1
        request.number = self.next
        self.next = self.next % (NUMBERS - 1) + 1
        self.open[request.number] = request
        self.jobs.add(request.job)
        self.unanswered += 1
        self.taken += 1

    def attempt(self, request: OpenRequest, cache: int, now: int, source: int = -1) -> OpenAttempt:
        attempt = OpenAttempt(request, len(request.attempts), cache, now, source)
        request.attempts.append(attempt)
        return attempt

    def finish(self, request: OpenRequest) -> None:
        """It has its final answer or needs none."""
        if not request.over:
            request.over = True
            self.unanswered -= 1
        self.settle(request)

    def settle(self, request: OpenRequest) -> None:
        done = request.over and all(attempt.ended for attempt in request.attempts)
        if done and self.open.pop(request.number, None) is not None:
            self.jobs.discard(request.job)
            request.attempts = []  # each points back: without the circle they are freed at once
