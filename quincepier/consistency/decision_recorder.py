"""Recording of real decisions: each attempt of a share of the requests, with the reason for its target.

The recorder does not change the router, and its memory is bounded.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable

import xxhash

from quincepier import interface as io
from quincepier.consistency.arithmetic import STANDARD_ARITHMETIC, Arithmetic
from quincepier.consistency.explain import AttemptTarget, DecisionRecord, Reason, explain_attempt
from quincepier.consistency.router_view import RouterNode, RouterView, node_number

MAX_RECORDS = 256
MAX_UNEXPLAINED = 64
MAX_REQUESTS = 4096


class DecisionRecorder:
    """An observer that the router's sender calls before each attempt."""

    def __init__(
        self,
        router: RouterView,
        share: float,
        seed: int,
        on_unexplained: Callable[[DecisionRecord], None] | None = None,
        arithmetic: Arithmetic = STANDARD_ARITHMETIC,
    ) -> None:
        """Create a recorder for the attempts of a share of the requests.

        Args:
            router: The router that makes the attempts.
            share: Share of the requests, from 0 to 1.
            seed: Selects which requests are recorded.
            on_unexplained: Called once for each attempt without a reason.
            arithmetic: The arithmetic that the rules use.
        """
        self.count_by_reason = Counter[Reason]()
        self.records: deque[DecisionRecord] = deque(maxlen=MAX_RECORDS)
        self.unexplained: deque[DecisionRecord] = deque(maxlen=MAX_UNEXPLAINED)
        self._router = router
        self._hash_limit = int(share * 2**64)
        self._seed = seed
        self._on_unexplained = on_unexplained
        self._arithmetic = arithmetic
        self._last_target_by_request: OrderedDict[int, AttemptTarget] = OrderedDict()

    def __call__(self, event: io.RequestReceived, node: RouterNode, source: RouterNode | None) -> None:
        """Explain an attempt at `node` that may fetch from `source`, if its request is in the share."""
        if not self._is_recorded(event.request):
            return
        target = AttemptTarget(node_number(node), None if source is None else node_number(source))
        previous = self._last_target_by_request.get(event.request)
        record = explain_attempt(self._router, event, target, previous, self._arithmetic)
        self._remember_target(event.request, target)
        self.count_by_reason[record.reason] += 1
        self.records.append(record)
        if record.reason is Reason.UNEXPLAINED:
            self.unexplained.append(record)
            if self._on_unexplained is not None:
                self._on_unexplained(record)

    def _is_recorded(self, request_id: int) -> bool:
        request_hash = xxhash.xxh3_64_intdigest(request_id.to_bytes(8, "little"), self._seed)
        return request_hash < self._hash_limit

    def _remember_target(self, request_id: int, target: AttemptTarget) -> None:
        self._last_target_by_request[request_id] = target
        self._last_target_by_request.move_to_end(request_id)
        if len(self._last_target_by_request) > MAX_REQUESTS:
            self._last_target_by_request.popitem(last=False)
