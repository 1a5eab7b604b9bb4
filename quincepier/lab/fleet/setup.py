"""Configuration of a front in an experiment: the platform's JSON, built from the module's settings."""

from __future__ import annotations

from typing import Any

from quincepier.config import IDEMPOTENCY_BY_WORD
from quincepier.interface import Settings
from quincepier.lab.experiment import MS, Experiment, Variant

WORD_BY_EFFECT = {effect: word for word, effect in IDEMPOTENCY_BY_WORD.items()}
# Settings that a variant may change, with their path in the platform's JSON.
JSON_PATH_BY_SETTING = {
    "attempts": ("limits", "try_limit"),
    "second_copies": ("limits", "may_duplicate"),
    "retry_after": ("limits", "retry_after"),
    "max_retry_after": ("limits", "max_retry_after"),
    "cancel": ("limits", "cancel"),
    "joins": ("family_info", "collapses"),
    "direct": ("family_info", "pass_through_ok"),
    "purge_settles": ("family_info", "purge_settles"),
}


def settings(experiment: Experiment, zone: int, variant: Variant) -> dict[str, Any]:
    """Return `settings` of a front's configuration; ValueError for a variant that the JSON can't express."""
    if unknown := [name for name in variant.settings if name not in JSON_PATH_BY_SETTING]:
        raise ValueError(f"variant {variant.name!r}: a process can't be told {', '.join(unknown)}")
    s: Settings = experiment.settings(zone, variant)
    configured: dict[str, Any] = {
        "family_info": {
            "class_fresh": [c.fresh for c in s.classes],
            "client_kb_per_s": s.client_kb_per_s,
            "collapses": s.joins,
            "never_kept": [c.never_kept for c in s.classes],
            "pass_through_ok": s.direct,
            "peers_fill": "off",
            "purge_settles": s.purge_settles,
            "root_kind": s.origin_kind,
            "seats_by_zone": list(s.fronts_by_zone),
            "second_tier_kind": s.parent_kind,
            "upper_cold": s.parent_cold_time,
            "upper_cold_from": s.parent_cold_from,
            "upper_fall_multiple": s.parent_cold_multiple,
            "usable_after": [c.grace for c in s.classes],
        },
        "limits": {
            "cancel": s.cancel,
            "conn_idle": 30_000_000_000,
            "dial_timeout": int(experiment.fleet.dial_ms * MS),
            "max_open": 20_000,
            "max_retry_after": s.max_retry_after,
            "may_duplicate": s.second_copies,
            "multiplex": 100,
            "retry_after": s.retry_after,
            "try_limit": s.attempts,
        },
        "over_share_worth": 0.1,
        "parties": [],
        "registry_mode": "pushed",
        "replicas_of_me": s.fronts,
        "report": {"fields": [], "how": "none"},
        "rules": {
            "cold_from": s.cold_from,
            "fall_multiple": s.cold_multiple,
            "tip_after": s.cold_window,
            "warm_within": s.cold_time,
        },
        "services": [
            {
                "aim_stretch": c.stretch,
                "effect": WORD_BY_EFFECT[c.effect],
                "group": "all",
                "window": c.window,
                "hard_limit": c.deadline,
                "name": experiment.classes[n].name,
                "on_time": c.on_time,
                "worth": c.worth,
            }
            for n, c in enumerate(s.classes)
        ],
        "skus": ["std", "parent", "origin"],
        "step": s.step,
        "weights": "rough" if s.sizes_compare else "off",
        "zone": zone + 1,
        "zones": ["hub", *(f"z{z + 1}" for z in range(experiment.fleet.zones))],
    }
    return configured


def configuration(
    experiment: Experiment,
    variant: Variant,
    seed: int,
    front: int,
    listen: str,
    changelog: str,
    events: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the configuration that a front reads at its start; `events`: the change log up to now."""
    return {
        "name": f"n{front}",
        "listen": listen,
        "seed": f"{(seed * 100_003 + front) & (1 << 64) - 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": experiment.fleet.sockets},
        "changelog": changelog,
        "flow_bytes_per_s": 310_000,
        "link_bytes_per_s": 1_240_000,
        "known": {"seq": len(events), "results": events},
        "settings": settings(experiment, front % experiment.fleet.zones, variant),
    }
