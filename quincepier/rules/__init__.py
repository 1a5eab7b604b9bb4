"""The rule version that all fronts decide by: machines out for work, shards, homes of tenants, moves.

It says what a version is, how it is told apart and changed, and what fronts report to whoever proposes the
next. It never decides a step (maintenance, tenancy do), never sends or stores anything. Read `version.py`
first; docs/agreement.md.
"""

from quincepier.rules.errors import RulesError
from quincepier.rules.reports import FrontReport, MachineSeen, Seen, Service
from quincepier.rules.version import (
    Allowance,
    Change,
    Home,
    Move,
    MoveStep,
    Order,
    OrderStep,
    RuleVersion,
    Shard,
    apply,
    decode,
    encode,
    first,
)

__all__ = [
    "Allowance",
    "Change",
    "FrontReport",
    "Home",
    "MachineSeen",
    "Move",
    "MoveStep",
    "Order",
    "OrderStep",
    "RuleVersion",
    "RulesError",
    "Seen",
    "Service",
    "Shard",
    "apply",
    "decode",
    "encode",
    "first",
]
