"""The rule version that all fronts decide by: machines out for work, shards, homes of tenants, moves.

It says what a version is, how it is told apart and changed, and what fronts report to whoever proposes the
next. It never decides a step (maintenance, tenancy do), never sends or stores anything. Read `version.py`
first; docs/agreement.md.
"""

from quincepier.rules.errors import RulesError
from quincepier.rules.leases import Ask, Grant, Holder, Pace, decode_ask, decode_grant, encode_words
from quincepier.rules.ledger import Ledger
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
    "Ask",
    "Change",
    "FrontReport",
    "Grant",
    "Holder",
    "Home",
    "Ledger",
    "MachineSeen",
    "Move",
    "MoveStep",
    "Order",
    "OrderStep",
    "Pace",
    "RuleVersion",
    "RulesError",
    "Seen",
    "Service",
    "Shard",
    "apply",
    "decode",
    "decode_ask",
    "decode_grant",
    "encode",
    "encode_words",
    "first",
]
