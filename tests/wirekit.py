"""Encoders of the simulator's frames, written independently of the codec, and a reader of replies."""

from __future__ import annotations

import struct

CONF = """callers.marks_retry=true
family=edge
family_info.class_fresh=0,12000000000
family_info.client_kb_per_s=4000.0
family_info.collapses=true
family_info.never_kept=false,false
family_info.pass_through_ok=true
family_info.peers_fill=location
family_info.purge_settles=6000000000
family_info.root_kind=2
family_info.seats_by_zone=0,2
family_info.second_tier_kind=1
family_info.upper_cold=20000000000
family_info.upper_cold_from=0.1
family_info.upper_fall_multiple=2.0
family_info.usable_after=0,10000000000
limits.cancel=true
limits.max_retry_after=500000000
limits.may_duplicate=true
limits.retry_after=true
limits.try_limit=8
me=0
over_share_worth=0.1
parties=
registry_mode=pushed
replicas_of_me=2
rules.cold_from=0.2
rules.fall_multiple=2.5
rules.tip_after=1500000000
rules.warm_within=13000000000
services.count=2
services.0.aim_stretch=2.0
services.0.effect=free
services.0.group=all
services.0.hard_limit=5000000000
services.0.on_time=600000000
services.0.worth=2.0
services.1.effect=single_shot
services.1.hard_limit=3000000000
services.1.on_time=250000000
services.1.worth=1.0
some.key.of.later=17
step=2000000
weights=rough
zone=1
"""


def record(code: int, fields: bytes) -> bytes:
    return struct.pack("<HI", code, len(fields)) + fields


def frame(*records: bytes, now: int = 10**9, batch: int = 1) -> bytes:
    body = b"".join(records)
    return struct.pack("<IQI", 16 + len(body), now, batch) + body


def start(instance: int = 3, conf: str = CONF, seed: int = 9) -> bytes:
    raw = conf.encode()
    return record(1000, struct.pack("<IQI", instance, seed, len(raw)) + raw)


def view(instance: int = 3, scope: int = 3, entries: tuple[tuple[int, int, int], ...] = ()) -> bytes:
    packed = [struct.pack("<HfIQBHB", 0, 7.0, cache, 0, kind, zone, 0) for cache, kind, zone in entries]
    return record(1010, struct.pack("<IBII", instance, scope, 1, len(entries)) + b"".join(packed))


FLEET = ((101, 0, 1), (102, 0, 1), (201, 1, 0), (301, 2, 0))


def incoming(request: int, instance: int = 3) -> bytes:
    fields = struct.pack("<IIBfHfQfBQ", instance, request, 0, 0.0, 0, 3.0, 77, 0.0, 0, 5 * 10**9)
    return record(1020, fields)


def read_reply(data: bytes) -> tuple[int, list[tuple[int, bytes]]]:
    count, size, batch = struct.unpack_from("<III", data)
    assert size == len(data)
    offset, records = 12, []
    while offset < size:
        code, length = struct.unpack_from("<HI", data, offset)
        records.append((code, data[offset + 6 : offset + 6 + length]))
        offset += 6 + length
    assert len(records) == count
    return batch, records
