"""Leaves of the compared trees: each leaf as text fields with labels, and its digest.

Labels and texts are compared between fronts of different builds, so they are part of the message format. If a
field is renamed in the code, a table here keeps its label.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec
import xxhash

from quincepier.consistency.decision import DecisionInputs, ListedEndpoint, RuleDecision
from quincepier.consistency.merkle_tree import MAX_LABEL_LENGTH
from quincepier.consistency.messages import LeafField
from quincepier.interface import DeduplicationScope, Idempotency

LeafFields = tuple[LeafField, ...]

VERSION_LABELS = {
    "maintenance_tasks": "orders",
    "disruption_limits": "allowances",
    "shards": "shards",
    "placements": "homes",
    "migrations": "moves",
}
ENTRY_LABELS = {
    "request_id": "wish",
    "since_version": "since",
    "reason": "why",
    "max_per_zone": "zone_most",
    "max_total": "most",
    "source_shard": "old",
    "target_shard": "new",
    "moved_slots": "part",
}
ENTRY_NAME_FIELDS = ("request_id", "target", "tenant", "kind", "name")
DECISION_LABELS = {
    "tier": "tier",
    "bypasses_caches": "direct",
    "caches": "caches",
    "sources": "sources",
    "max_copy_age": "oldest",
    "home_shard": "home",
    "is_write_paused": "closed",
    "retries": "repeats",
}
ENUM_LABELS: dict[type[Enum], str] = {Idempotency: "Effect", DeduplicationScope: "Group"}
MAX_LISTED_VALUES = 8  # of a long list of endpoints, as text

encode_leaf = msgspec.msgpack.Encoder().encode


def leaf_digest(value: object) -> bytes:
    """Return the digest (16 bytes) of a leaf's value."""
    return xxhash.xxh3_128_digest(encode_leaf(value))


def version_leaves(inputs: DecisionInputs) -> dict[str, LeafFields]:
    """Return the fields of each entry of the rule version, by the entry's label."""
    version = inputs.rule_version
    leaves: dict[str, LeafFields] = {
        "version": (LeafField("number", str(version.number)), LeafField("term", str(version.term)))
    }
    for field_name, kind in VERSION_LABELS.items():
        for index, entry in enumerate(getattr(version, field_name)):
            label = f"{kind} {_entry_name(entry)}"[:MAX_LABEL_LENGTH]
            leaves[label] = (LeafField("place", str(index)), *_entry_fields(entry))
    return leaves


def _entry_fields(entry: Any) -> LeafFields:
    return tuple(
        LeafField(ENTRY_LABELS.get(name, name), str(getattr(entry, name))) for name in entry.__struct_fields__
    )


def _entry_name(entry: Any) -> str:
    return ":".join(str(getattr(entry, name)) for name in ENTRY_NAME_FIELDS if hasattr(entry, name))


def settings_leaves(inputs: DecisionInputs) -> dict[str, LeafFields]:
    """Return each setting by its label, except the zone, which differs between fronts."""
    settings = inputs.settings
    names = [name for name in settings.__dataclass_fields__ if name not in ("zone", "classes")]
    leaves: dict[str, LeafFields] = {
        name: (LeafField(name, _setting_text(getattr(settings, name))),) for name in names
    }
    for index, request_class in enumerate(settings.classes):
        for name in request_class.__dataclass_fields__:
            text = _setting_text(getattr(request_class, name))
            leaves[f"classes[{index}].{name}"] = (LeafField(name, text),)
    return leaves


def _setting_text(value: object) -> str:
    if isinstance(value, Enum):
        return f"<{ENUM_LABELS[type(value)]}.{value.name}: {value.value!r}>"
    return repr(value)


def endpoint_fields(endpoint: ListedEndpoint) -> LeafFields:
    """Return the fields of an endpoint list entry."""
    return tuple(LeafField(name, str(getattr(endpoint, name))) for name in endpoint.__struct_fields__)


def decision_fields(decision: RuleDecision) -> LeafFields:
    """Return the fields of a rule decision; a long list of endpoints becomes its first ones and a digest."""
    return tuple(
        LeafField(label, _decision_text(getattr(decision, name))) for name, label in DECISION_LABELS.items()
    )


def _decision_text(value: object) -> str:
    if isinstance(value, msgspec.Struct):
        return str(msgspec.structs.astuple(value))
    if isinstance(value, tuple) and len(value) > MAX_LISTED_VALUES:
        first = ", ".join(map(str, value[:MAX_LISTED_VALUES]))
        return f"{first}, of {len(value)}, {xxhash.xxh3_64_hexdigest(str(value).encode())}"
    return str(value)


def truncate_fields(fields: LeafFields, max_fields: int) -> LeafFields:
    """Return the fields, truncated to the limits of a message."""
    return tuple(
        LeafField(field.name[:MAX_LABEL_LENGTH], field.text[:MAX_LABEL_LENGTH])
        for field in fields[:max_fields]
    )
