"""Shared by tests of the front: a configuration, requests, and a receiver of responses."""

from __future__ import annotations

import copy
from typing import Any

from quincepier.config import FrontConfig, read_front
from quincepier.memory.open_requests import OpenRequest

SETTINGS: dict[str, Any] = {
    "family_info": {
        "class_fresh": [0, 12000000000, 0],
        "client_kb_per_s": 4000.0,
        "collapses": True,
        "never_kept": [False, False, True],
        "pass_through_ok": True,
        "peers_fill": "location",
        "purge_settles": 6000000000,
        "root_kind": 2,
        "seats_by_zone": [0, 1],
        "second_tier_kind": 1,
        "upper_cold": 20000000000,
        "upper_cold_from": 0.1,
        "upper_fall_multiple": 2.0,
        "usable_after": [0, 10000000000, 0],
    },
    "limits": {
        "cancel": True,
        "conn_idle": 30000000000,
        "dial_timeout": 400000000,
        "max_open": 20000,
        "max_retry_after": 500000000,
        "may_duplicate": True,
        "multiplex": 100,
        "retry_after": True,
        "try_limit": 8,
    },
    "over_share_worth": 0.1,
    "parties": [],
    "registry_mode": "pushed",
    "replicas_of_me": 1,
    "report": {"fields": ["load_share", "x0"], "how": "on_probe"},
    "rules": {"cold_from": 0.2, "fall_multiple": 2.5, "tip_after": 1500000000, "warm_within": 13000000000},
    "services": [
        {"aim_stretch": 2.0, "effect": "free", "group": "all", "hard_limit": 5000000000, "name": "lot-video",
         "on_time": 600000000, "worth": 2.0},
        {"aim_stretch": 2.0, "effect": "free", "group": "all", "hard_limit": 3000000000, "name": "lot-image",
         "on_time": 250000000, "worth": 1.0},
        {"aim_stretch": 2.0, "effect": "single_shot", "group": "all", "hard_limit": 3000000000, "name": "bid",
         "on_time": 700000000, "worth": 3.0},
    ],
    "skus": ["std", "parent", "origin"],
    "step": 1000000,
    "weights": "rough",
    "zone": 1,
    "zones": ["hub", "edge"],
}  # fmt: skip


def host(name: str, address: str, kind: str = "std", **changes: Any) -> dict[str, Any]:
    site = "edge" if kind == "std" else "hub"
    base = {"host": name, "dial": address, "site": site, "class": kind, "block": 1, "health": "SERVING",
            "share": 30.0, "born_ms": 0}  # fmt: skip
    return base | changes


def raw_config(**changes: Any) -> dict[str, Any]:
    hosts = [
        host("s-1", "127.0.0.1:1"),
        host("p-1", "127.0.0.1:2", "parent"),
        host("o-1", "127.0.0.1:3", "origin"),
    ]
    base: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:5050",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "changelog": "127.0.0.1:7070",
        "flow_bytes_per_s": 310000,
        "link_bytes_per_s": 1240000,
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"seq": 0, "whole": True, "hosts": hosts}}]},
        "settings": copy.deepcopy(SETTINGS),
    }
    return base | changes


def make_config(**changes: Any) -> FrontConfig:
    return read_front(raw_config(**changes), {})


class Inbox:
    """Receives responses as a client connection does.

    Attributes:
        got: The responses, in order.
    """

    def __init__(self) -> None:
        self.responses: list[Any] = []

    def push(self, answer: Any) -> None:
        self.responses.append(answer)

    def check_client(self, now_ns: int) -> bool:
        """Return True: there is never unread data of the client."""
        return True


def open_request(owner: Inbox, cls: int = 1, job: str = "9b1f03aa5c7e2d41", **changes: Any) -> OpenRequest:
    values: dict[str, Any] = {
        "receiver": owner,
        "stream_id": 1,
        "job_id": job,
        "class_index": cls,
        "class_name": SETTINGS["services"][cls]["name"],
        "object_key": "7f3a9c21e0b4d655",
        "object_id": 0x7F3A9C21E0B4D655,
        "part": 0,
        "group": 17,
        "is_repeat": False,
        "known_version": "",
        "allowed_ns": 3_000_000_000,
        "received_at_ns": 0,
        "body": b"",
    }
    return OpenRequest(**(values | changes))
