"""Settings of any deployment: the rules hold, no rejection for settings alone, no built-in names."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from quincepier import interface as io
from quincepier.config import FrontConfig, SettingsError, read_front
from quincepier.interface import AttemptOutcome, CacheStatus, DeduplicationScope, Idempotency
from quincepier.keys import MAX_REMEMBERED_KEYS
from quincepier.memory.machine_directory import MachineDirectory
from quincepier.recovery import count_requesting_fronts
from quincepier.translate import make_class_table, make_serve_fields, open_request
from quincepier.wire.fastcgi import FastCgiRequest
from quincepier.wire.lines import serve
from tests.frontkit import SETTINGS, Inbox, raw_config
from tests.rig import (
    CACHES,
    MS,
    SECOND,
    RouterBench,
    attempts,
    final_responses,
    fleet,
    machine,
    make_class,
    make_settings,
)
from tests.test_policy_properties import STEPS, RuleChecker

ROOT = Path(__file__).parent.parent
RUNS = {"derandomize": True, "deadline": None, "database": None, "phases": [Phase.generate],
        "suppress_health_check": list(HealthCheck)}  # fmt: skip
SPANS = st.sampled_from([0, 1, MS, 40 * MS, 700 * MS, 5 * SECOND, 10**6 * SECOND])


@st.composite
def request_classes(draw: st.DrawFn) -> io.RequestClass:
    deadline = draw(st.sampled_from([1, MS, 30 * MS, 900 * MS, 5 * SECOND, 600 * SECOND]))
    effect = draw(st.sampled_from(Idempotency))
    return make_class(
        effect=effect,
        group=draw(st.sampled_from(DeduplicationScope)),
        window=draw(SPANS),
        on_time=draw(st.sampled_from([0, 1, MS, 250 * MS, deadline // 2, deadline, 2 * deadline])),
        stretch=draw(st.sampled_from([0.0, 0.3, 2.0, 1e6])),
        deadline=deadline,
        worth=draw(st.sampled_from([0.0, 1.0, 1.0, 2.5, 1e12])),
        fresh=draw(SPANS),
        grace=draw(SPANS),
        never_kept=draw(st.booleans()) or effect is Idempotency.UNSAFE,
    )


@st.composite
def any_settings(draw: st.DrawFn) -> io.Settings:
    fronts = draw(st.sampled_from([1, 2, 40]))
    tiny = st.sampled_from([0.0, 1e-9, 0.2, 1.0])
    return make_settings(
        classes=tuple(draw(st.lists(request_classes(), min_size=1, max_size=12))),
        fronts=fronts,
        fronts_by_zone=draw(st.sampled_from([(), (0,), (0, fronts), (0, fronts, 3, 0)])),
        parent_kind=draw(st.sampled_from([-1, 1])),
        origin_kind=draw(st.sampled_from([-1, 2, 2])),
        direct=draw(st.booleans()),
        joins=draw(st.booleans()),
        reports=draw(st.sampled_from([(), ("link",), ("in flight", "x9", "link"), ("x9",)])),
        client_kb_per_s=draw(st.sampled_from([0.0, 1e-6, 4000.0])),
        sizes_compare=draw(st.booleans()),
        purge_settles=draw(SPANS),
        cold_from=draw(tiny),
        cold_multiple=draw(tiny),
        cold_window=draw(SPANS),
        cold_time=draw(SPANS),
        parent_cold_from=draw(tiny),
        parent_cold_multiple=draw(tiny),
        parent_cold_time=draw(SPANS),
        list_on_request=draw(st.booleans()),
        cancel=draw(st.booleans()),
        second_copies=draw(st.booleans()),
        attempts=draw(st.sampled_from([1, 2, 8])),
        retry_after=draw(st.booleans()),
        max_retry_after=draw(SPANS),
        step=draw(st.sampled_from([0, 1, 2 * MS])),
    )


class AnyWorld(RuleChecker):
    """The rules as for the usual settings; cold budgets by the fronts of the machine's own zone."""

    def check_cold(self, cache: int) -> None:
        s, m, sent = self.settings, self.endpoint_by_id[cache], self.sends_since_start[cache]
        sent.append(self.now)
        is_parent = m.kind == s.parent_kind
        least, multiple, warm = (
            (s.parent_cold_from, s.parent_cold_multiple, s.parent_cold_time)
            if is_parent
            else (s.cold_from, s.cold_multiple, s.cold_time)
        )
        if m.kind != s.origin_kind and self.now - m.started_at < min(s.cold_window, warm):
            work = (sum(at > self.now - s.cold_window for at in sent) - 1) * min(
                self.router.latency.transfer_times.means
            )
            size = (
                m.size if s.sizes_compare else max(self.router.slow_start.learned_sizes.get(m.kind, 1.0), 1.0)
            )
            max_work = multiple * least * size * s.cold_window
            assert work * count_requesting_fronts(s.fronts, s.fronts_by_zone, m.zone) <= max_work

    def check_final(self, action: io.Action, request: int) -> None:
        cls = (
            self.settings.classes[self.open_requests[request][0].class_index]
            if request in self.open_requests
            else None
        )
        if cls is not None and cls.effect is Idempotency.KEYED and cls.group is DeduplicationScope.ALL:
            _, deadline = self.open_requests.pop(
                request
            )  # may be rejected although it ran: docs/crossings.md describes this gap
            assert request in self.streaming or self.now <= deadline
        else:
            super().check_final(action, request)

    def finish(self) -> None:
        super().finish()
        router, classes = self.router, len(self.settings.classes)
        assert (
            max(len(router.placement.hits), len(router.freshness.purges), len(router.placement.rankings))
            <= MAX_REMEMBERED_KEYS
        )
        assert len(router.latency.baselines) <= 4 * classes and len(router.placement.table.by_id) <= len(
            self.endpoint_by_id
        )
        assert not any(router.queue.queues) and router.fetch_limit.limit >= 1


@settings(max_examples=150, **RUNS)  # type: ignore[arg-type]
@given(site=any_settings(), steps=st.lists(STEPS, min_size=25, max_size=50))
def test_the_rules_hold_whatever_the_settings_are(
    site: io.Settings, steps: list[tuple[int, int, int]]
) -> None:
    world = AnyWorld(site)
    for kind, pick, span in steps:
        world.step(kind, pick, span)
    world.finish()


def test_a_router_that_repeats_unsafe_requests_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quincepier.policy.sending.AttemptSender.can_send", lambda *_: True)
    with pytest.raises(AssertionError):
        test_the_rules_hold_whatever_the_settings_are()


# Requests that must not be rejected for settings alone


@pytest.mark.parametrize("on_time", [0, 1, MS, 20 * MS])
def test_a_request_is_not_rejected_for_a_short_wait(on_time: int) -> None:
    """Every request that arrives over a socket waits some microseconds for its turn."""
    bench = RouterBench(make_settings(classes=(make_class(on_time=on_time),) * 3))
    assert len(attempts(bench.send_request(1, waited=MS))) == 1
    for request in range(2, 8):
        bench.send_request(request, waited=SECOND)
        bench.advance(20 * MS)
    assert final_responses(
        bench.send_request(8, waited=SECOND)
    )  # after so long a wait it is rejected at once


@pytest.mark.parametrize("deadlines", [1, 2])
def test_an_unsafe_request_that_never_ran_is_retried_whatever_its_target_latency(deadlines: int) -> None:
    bid = make_class(
        effect=Idempotency.UNSAFE, never_kept=True, deadline=3 * SECOND, on_time=deadlines * 3 * SECOND
    )
    bench = RouterBench(make_settings(classes=(bid,)))
    (sent,) = attempts(bench.send_request(1))
    bench.advance(MS)
    assert len(attempts(bench.complete_attempt(sent, AttemptOutcome.CONNECT_FAILED, elapsed=MS))) == 1


def test_a_class_without_target_latency_counts_against_a_cold_cache() -> None:
    """Its transfer time is not known yet and must not count as zero."""
    bench = RouterBench(
        make_settings(classes=(make_class(on_time=0),)),
        (machine(CACHES[0], up_since=100 * SECOND), *fleet()[3:]),
    )
    sent = 0
    for n in range(60):
        for attempt in attempts(bench.send_request(n, obj=n)):
            sent += attempt.cache == CACHES[0]
            bench.complete_attempt(attempt, AttemptOutcome.OK, CacheStatus.FILLED, elapsed=MS)
    assert sent <= 2


# Names


def config_with_class_name(name: str) -> dict[str, Any]:
    raw = raw_config()
    raw["settings"]["services"][1]["name"] = name
    return raw


def encode_command(config: FrontConfig, name: str) -> bytes:
    """Return the command for a request of that class; the web server sends the name as UTF-8."""
    params = {
        "SCRIPT_NAME": f"/call/{name}".encode().decode("latin-1"), "HTTP_X_JOB_ID": "9b1f03aa5c7e2d41",
        "HTTP_X_ITEM": "7f3a9c21e0b4d655", "HTTP_X_N": "0", "HTTP_X_SHARD": "17", "HTTP_X_ALLOW_MS": "900",
    }  # fmt: skip
    request = open_request(FastCgiRequest(1, params, b"", True), make_class_table(config), Inbox(), 0)
    assert request.class_index == 1
    return serve(
        request.job_id,
        make_serve_fields(io.ForwardRequest(1, 1, SECOND), request, MachineDirectory((), ()), SECOND),
        b"",
    )


@pytest.mark.parametrize("name", ["a", "büro", "图片", "x=y/z;%20", "é" * 100, "lot-video2"])
def test_a_class_of_any_name_is_sent_by_that_name(name: str) -> None:
    line = encode_command(read_front(config_with_class_name(name), {}), name)
    assert f"class={name},".encode() in line and line.count(b" ") == 3


@pytest.mark.parametrize(
    "name", ["", "two words", "a,b", "a\r\nb", "a\u2028b", "\x00", "x" * 201, "lot-video"]
)
def test_a_name_that_no_command_can_carry_is_rejected_with_its_key(name: str) -> None:
    with pytest.raises(SettingsError, match=r"settings\.services\.[12]\.name"):
        read_front(config_with_class_name(name), {})


def example_names() -> set[str]:
    """Return the names of classes, zones, kinds, tenants and hosts in example, tests and laboratory files."""
    found = set[str]()
    for example in (SETTINGS, json.loads((ROOT / "deploy" / "example.json").read_text())["settings"]):
        found |= {s["name"] for s in example["services"]} | {*example["zones"], *example["skus"]}
        found |= {p["name"] for p in example["parties"] if isinstance(p, dict)}
    for path in (ROOT / "experiments").glob("*.yaml"):
        found |= set(re.findall(r"\{name: ([\w-]+), share", path.read_text()))
    return found


TRADE_WORDS = {"parent", "origin", "hub"}  # names of the example that are also words of the trade


def find_built_in_names(text: str) -> set[str]:
    """Return the names of examples in a source text: those in quotes, and those with a hyphen anywhere."""
    names = example_names() - TRADE_WORDS
    quoted = {word for word in names if re.search(rf"""["']{re.escape(word)}["']""", text)}
    return quoted | {w for w in names if "-" in w and re.search(rf"\b{re.escape(w)}\b", text)}


def test_no_name_of_a_deployment_is_built_in() -> None:
    assert example_names() >= {"lot-video", "bid", "edge", "std"}
    for path in [*(ROOT / "quincepier").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]:
        if "lab" not in path.parts:  # the laboratory has examples of its own
            assert find_built_in_names(path.read_text()) == set(), path
    assert find_built_in_names("if name == 'bid': ...") == {"bid"} and find_built_in_names(
        "# lot-video first"
    ) == {"lot-video"}
