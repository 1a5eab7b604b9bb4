"""Final answers: each request gets one, and what is still out for it is cancelled."""

from quincepier.context import Context, RouterComponent
from quincepier.interface import DeduplicationScope, Idempotency
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.sending import AttemptSender
from quincepier.records import Request
from quincepier.recovery import RecoveryTracker
from quincepier.structures import FairQueue

MIN_RETRY_AFTER_SHARE = 0.8  # of the longest time that a client is told; clients do not come back in step


class Responder(RouterComponent):
    """Rule one: never two final answers.

    Args:
        context: What the parts of a router share.
        latency: What answers take.
        recovery: Told how each request went.
        queue: The held requests.
        sender: Cancels attempts.

    Attributes:
        requests: The requests without a final answer, by id.
    """

    def __init__(
        self,
        context: Context,
        latency: LatencyEstimates,
        recovery: RecoveryTracker,
        queue: FairQueue[Request],
        sender: AttemptSender,
    ) -> None:
        super().__init__(context)
        self.latency = latency
        self.recovery = recovery
        self.queue = queue
        self.sender = sender
        self.requests = dict[int, Request]()

    def reject(self, request: int) -> None:
        """Answer that the client may try again."""
        settings = self.context.settings
        share = self.context.random.uniform(MIN_RETRY_AFTER_SHARE, 1) if settings.retry_after else 0
        self.context.reject(request, int(share * settings.max_retry_after))

    def give_up(self, request: Request) -> None:
        """Reject a request where that is known to do no harm; else it has failed."""
        cls = request.cls
        is_keyed = cls.effect is Idempotency.KEYED and cls.group is DeduplicationScope.ALL
        is_harmless = cls.effect is Idempotency.SAFE or is_keyed or not request.may_have_run
        self.close(request)
        if is_harmless:
            self.reject(request.id)
        else:
            self.context.fail(request.id)

    def close(self, request: Request, is_served: bool = False) -> None:
        """End a request; what is still out for it is cancelled."""
        now = self.context.now
        del self.requests[request.id]
        in_time = is_served and now - request.received_at <= self.latency.objective(request)
        self.context.log(self.recovery.on_request_finished(now, request.cls.worth, in_time))
        self.queue.discard(request)
        self.sender.cancel(request.open_attempts.values())
