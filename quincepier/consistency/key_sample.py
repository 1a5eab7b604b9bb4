"""The sample of keys decided in a comparison round; it is the same at all fronts with equal inputs."""

from __future__ import annotations

import random
from collections.abc import Sequence

from quincepier.consistency.decision import DecisionInputs, DecisionKey

MAX_SAMPLED_TENANTS = 64
TENANT_PROBABILITY = 0.5  # that a key belongs to a tenant of the rule version
PARTS = 4  # parts of an object among which keys are drawn
GROUPS = range(1, 256)


def sample_keys(rule_version: int, round_id: int, size: int, inputs: DecisionInputs) -> list[DecisionKey]:
    """Return the randomly drawn keys of a round.

    Args:
        rule_version: Number of the collector's rule version; seeds the draw together with `round_id`.
        round_id: Id of the round.
        size: Number of keys.
        inputs: Supplies the zones with caches, the classes, and the tenants of the rule version.
    """
    draw = random.Random(rule_version << 64 | round_id)  # independent of the hash, which is compared too
    classes = len(inputs.settings.classes)
    zones = _zones_with_caches(inputs)
    tenants = _named_tenants(inputs)
    return [
        DecisionKey(
            cls=draw.randrange(classes),
            object=draw.getrandbits(64),
            part=draw.randrange(PARTS),
            group=draw.randrange(GROUPS.start, GROUPS.stop),
            tenant=draw.choice(tenants) if tenants and draw.random() < TENANT_PROBABILITY else "",
            zone=draw.choice(zones),
        )
        for _ in range(size)
    ]


def _zones_with_caches(inputs: DecisionInputs) -> Sequence[int]:
    source_kinds = (inputs.settings.parent_kind, inputs.settings.origin_kind)
    return sorted({e.zone for e in inputs.endpoints if e.kind not in source_kinds}) or [0]


def _named_tenants(inputs: DecisionInputs) -> Sequence[str]:
    version = inputs.rule_version
    names = {migration.tenant for migration in version.migrations} | {
        placement.tenant for placement in version.placements
    }
    return sorted(names)[:MAX_SAMPLED_TENANTS]
