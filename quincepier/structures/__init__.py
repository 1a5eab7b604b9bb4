"""Generic data structures and estimators of the routing policy; callers supply all parameters."""

from quincepier.structures.backoff import Backoff
from quincepier.structures.baseline import Baseline
from quincepier.structures.coverage import Coverage
from quincepier.structures.decaying import DecayingMean, DecayingSum
from quincepier.structures.fair_queue import FairQueue
from quincepier.structures.purge_log import PurgeLog
from quincepier.structures.recency_map import RecencyMap
from quincepier.structures.rendezvous import RendezvousGroup, rank
from quincepier.structures.running_means import RunningMeans
from quincepier.structures.served_work import ServedWork
from quincepier.structures.tiers import assign_tiers
from quincepier.structures.token_bucket import TokenBucket

__all__ = [
    "Backoff",
    "Baseline",
    "Coverage",
    "DecayingMean",
    "DecayingSum",
    "FairQueue",
    "PurgeLog",
    "RecencyMap",
    "RendezvousGroup",
    "RunningMeans",
    "ServedWork",
    "TokenBucket",
    "assign_tiers",
    "rank",
]
