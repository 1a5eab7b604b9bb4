"""Final responses: each request gets one, and its open attempts are cancelled."""

from quincepier.context import Context, RouterComponent
from quincepier.interface import DeduplicationScope, Idempotency
from quincepier.policy.latency import LatencyEstimates
from quincepier.policy.sending import AttemptSender
from quincepier.records import Request
from quincepier.recovery import RecoveryTracker
from quincepier.structures import FairQueue

# Lowest share of the configured maximum retry delay; the delay is drawn between it and the maximum, so that
# clients don't all retry at once.
MIN_RETRY_AFTER_SHARE = 0.8


class Responder(RouterComponent):
    """Gives each request at most one final response.

    Args:
        context: State shared by the components of the router.
        latency: Expected latencies.
        recovery: Notified of each finished request.
        queue: The hold queue.
        sender: Cancels attempts.

    Attributes:
        requests: The requests without a final response, by id.
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
        """Reject a request, so that the client may send it again."""
        settings = self.context.settings
        share = self.context.random.uniform(MIN_RETRY_AFTER_SHARE, 1) if settings.retry_after else 0
        self.context.reject(request, int(share * settings.max_retry_after))

    def give_up(self, request: Request) -> None:
        """Close a request and reject it, or fail it if executing it twice might do harm.

        A rejected request is sent again by its client, so it must be safe, keyed with deduplication in all
        caches, or never executed.
        """
        cls = request.cls
        is_keyed = cls.effect is Idempotency.KEYED and cls.group is DeduplicationScope.ALL
        is_harmless = cls.effect is Idempotency.SAFE or is_keyed or not request.may_have_run
        self.close(request)
        if is_harmless:
            self.reject(request.id)
        else:
            self.context.fail(request.id)

    def close(self, request: Request, is_served: bool = False) -> None:
        """Close a request, and cancel its open attempts.

        Args:
            request: The request.
            is_served: Whether it was answered successfully.
        """
        now = self.context.now
        del self.requests[request.id]
        in_time = is_served and now - request.received_at <= self.latency.objective(request)
        self.context.log(self.recovery.on_request_finished(now, request.cls.worth, in_time))
        self.queue.discard(request)
        self.sender.cancel(request.open_attempts.values())
