"""The operators' file: all faults with line and key, hostile files, JSON lines, SIGHUP, unused packages."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quincepier.addresses import Family
from quincepier.addresses.section import AddressesSection
from quincepier.consistency import ConsistencySection
from quincepier.lab.scripted_cache import Machine
from quincepier.operator import SECTIONS, LogSection, OperatorError, load, read
from quincepier.state.section import StateSection
from tests.frontkit import raw_config
from tests.standins import Cache, Front, ReceivedCommand, until

EXAMPLE = Path(__file__).parent.parent / "deploy" / "operator.yaml"


def faults(text: str) -> list[str]:
    with pytest.raises(OperatorError) as caught:
        read(text, "op.yaml")
    return caught.value.faults


def test_the_example_is_good_and_its_defaults_are_those_of_the_section() -> None:
    file = load(str(EXAMPLE))
    section, log = file.get(AddressesSection), file.get(LogSection)
    assert file.names == list(SECTIONS) and section is not None and log is not None
    state = file.get(StateSection)
    assert state == StateSection(folder="/var/lib/quincepier/front-1")
    assert file.get(ConsistencySection) == ConsistencySection()
    assert [a.family for a in section.machines["s-1"]] == [Family.IP6, Family.UNIX]
    assert section.limits == AddressesSection().limits and log.format == "json"


def test_all_faults_are_reported_at_once_each_with_line_and_key() -> None:
    text = """\
log: {format: xml, format: text}
addresses:
  machines:
    s-1: ["127.0.0.1:0", "unix:/ok", 5]
  prefer: [unix, bogus]
  stagger_ms: {least: 50, first: 10}
  aside_ms: {first: no}
  dials: [1]
  colour: red
extra: 1
"""
    found = {fault.split(": ")[0] + " " + fault.split(": ")[1] for fault in faults(text)}
    assert found == {
        "op.yaml:1 log.format", "op.yaml:4 addresses.machines.s-1.0", "op.yaml:4 addresses.machines.s-1.2",
        "op.yaml:5 addresses.prefer.1", "op.yaml:6 addresses.stagger_ms",
        "op.yaml:7 addresses.aside_ms.first",
        "op.yaml:8 addresses.dials", "op.yaml:9 addresses.colour", "op.yaml:10 extra",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("addresses: {machines: {a: [x], a: [y]}}", "addresses.machines.a: is given twice"),
        ("log: &a {format: text}\naddresses: *a", "op.yaml:1: anchors, aliases and tags are not supported"),
        ("log:\n  format: [", "not YAML"),
        ("log: !!python/object:os.system {}", "tags are not supported"),
        ("[1, 2]", "expected a mapping"),
        ("1: 2", "the key 1 is not a string"),
        ("log: {format: !!int 0b}", "tags are not supported"),
        ("log: {format: 2026-13-45}", "log.format"),
        ("[" * 40 + "]" * 40, "more than 16 levels of nesting"),
        ("addresses: {machines: {s-1: [" + ", ".join(["unix:/a"] * 17) + "]}}", "17 items, over 16"),
        ("addresses: {dials: {machine: 9, front: 8}}", "machine <= front is wanted"),
        ("log: {format: text}\n---\nlog: {}", "not YAML"),
        ("\x00", "not YAML"),
    ],
)
def test_invalid_files_name_the_reason(text: str, reason: str) -> None:
    found = "\n".join(faults(text))
    assert reason in found, found


def test_an_empty_file_and_empty_sections_are_good() -> None:
    assert read("", "x").names == [] and read("# nothing\n", "x").names == []
    file = read("addresses:\nlog:\n", "x")
    assert file.get(AddressesSection) == AddressesSection() and file.get(LogSection) == LogSection()


words = st.sampled_from(["log", "addresses", "format", "json", "machines", "s-1", "[::1]:1", "prefer"])
values = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), words, st.text(max_size=8)),
    lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(words, inner, max_size=4)),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300)
@given(st.one_of(values.map(json.dumps), st.text(max_size=80), values.map(lambda v: json.dumps(v)[:-1])))
def test_any_content_is_accepted_or_rejected_by_one_error(text: str) -> None:
    try:
        file = read(text, "op.yaml")
    except OperatorError as error:
        assert error.faults and all(fault.startswith("op.yaml:") for fault in error.faults)
    else:
        assert set(file.names) <= set(SECTIONS)


def test_files_that_can_not_be_opened_or_are_too_large(tmp_path: Path) -> None:
    bad = tmp_path / "latin.yaml"
    bad.write_bytes(b"log: {}\n# \xe9\n")
    large = tmp_path / "large.yaml"
    large.write_bytes(b"#" * (4 * 1024 * 1024 + 1))
    reason_by_path = {
        tmp_path / "none": "can't be read",
        tmp_path: "can't",
        bad: ":2: not UTF-8",
        large: "over",
    }
    for path, reason in reason_by_path.items():
        with pytest.raises(OperatorError, match=reason):
            load(str(path))


def run(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, *arguments]
    return subprocess.run(command, capture_output=True, text=True, env=environment, check=False, timeout=60)


def test_check_config_reads_both_files(tmp_path: Path) -> None:
    config, operator = tmp_path / "config.json", tmp_path / "operator.yaml"
    config.write_text(json.dumps(raw_config()))
    operator.write_text("log: {format: yes}\nother: {}\n")
    check = "-m", "quincepier", "check-config", "--config", str(config)
    bad = run(*check, "--operator", str(operator))
    assert bad.returncode == 2 and "log.format" in bad.stderr and "other" in bad.stderr
    operator.write_text("addresses: {forbid: [ipv6]}\n")
    good = run(*check, ROUTER_OPERATOR=str(operator))
    assert good.returncode == 0 and "operators' file is good: addresses" in good.stdout


def test_unused_packages_are_not_imported(tmp_path: Path) -> None:
    """Packages and libraries of the operators' file are imported only if a section of the file needs them."""
    config, operator = tmp_path / "config.json", tmp_path / "operator.yaml"
    config.write_text(json.dumps(raw_config()))
    operator.write_text("log: {format: json}\n")
    program = (
        "import sys; from quincepier.__main__ import main; import quincepier.lifecycle.front;"
        f"main(['check-config', '--config', {str(config)!r}] + {{}});"
        "print([m for m in ('yaml', 'msgspec', 'netaddr', 'parsy', 'quincepier.operator',"
        "'quincepier.addresses', 'quincepier.net.dialer', 'zstandard', 'xxhash', 'quincepier.state',"
        "'quincepier.net.state_persistence', 'quincepier.recovery.learned_facts', 'quincepier.membership',"
        "'quincepier.net.peers')"
        " if m in sys.modules])"
    )
    off = run("-c", program.format([]))
    assert off.stdout.splitlines()[-1] == "[]", off.stderr
    some = run("-c", program.format(["--operator", str(operator)]))
    assert some.stdout.splitlines()[-1] == "['yaml', 'msgspec', 'quincepier.operator']", some.stderr


def test_json_lines_and_sighup_apply_the_file_completely_or_not_at_all(tmp_path: Path) -> None:
    """A front process whose origin moves to an address that the operators' file names at SIGHUP."""
    operator = tmp_path / "operator.yaml"

    def ok(asked: ReceivedCommand) -> None:
        asked.respond_with_data()

    async def scenario(front: Front) -> None:
        def lines(event: str) -> list[dict[str, Any]]:
            records = [json.loads(line) for line in front.log_lines if line.startswith("{")]
            assert all(set(r) == {"time", "level", "event", "fields"} for r in records)
            return [r for r in records if r["event"] == event]

        (ready,) = lines("front_serving")
        assert ready["fields"]["front"] == "n0" and ready["level"] == "INFO"
        client = await front.connect_client()
        client.send_request(1, "bid", b"offer")
        assert (await client.wait_for_response(1)).status == 200
        moved = Machine(tmp_path, ("unix",))
        await moved.start()
        (address,) = moved.addresses()
        origin = front.caches["o-1"]
        assert origin.server is not None
        origin.server.close()
        for asked in origin.commands:
            asked.abort_connection()
        good = f"addresses: {{machines: {{o-1: ['{address}']}}, prefer: [unix]}}"
        operator.write_text(good.replace("unix]", "moon]"))
        front.send_signal(signal.SIGHUP)
        await until(lambda: bool(lines("configuration_rejected")), "the invalid file is reported")
        assert "addresses.prefer.0" in lines("configuration_rejected")[0]["fields"]["detail"]
        client.send_request(2, "bid", b"offer")
        await client.wait_for_response(2)
        assert not moved.received_commands  # nothing of the invalid file is applied
        operator.write_text(good)
        front.send_signal(signal.SIGHUP)
        await until(lambda: front.has_logged("reloaded: log, addresses changed"), "the valid one is applied")
        client.send_request(3, "bid", b"offer")
        assert (await client.wait_for_response(3)).status == 200 and len(moved.received_commands) == 1
        front.send_signal(signal.SIGTERM)
        assert await front.wait_for_exit() == 0
        await moved.close()

    operator.write_text("log: {format: json}\naddresses: {}\n")
    caches = {"s-1": ok, "p-1": ok, "o-1": ok}

    async def run_scenario() -> None:
        front = Front(tmp_path, {name: Cache(behaviour) for name, behaviour in caches.items()})
        front.operator_file = operator
        try:
            await front.start()
            await scenario(front)
        finally:
            await front.stop()

    asyncio.run(run_scenario())
