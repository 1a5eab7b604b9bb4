"""The configuration: one validation for front and simulator, errors that name the key, the command line."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from quincepier import __version__
from quincepier.config import SettingsError, flatten_settings, load_front, read_front, read_settings
from quincepier.simwire import decode_settings
from tests.frontkit import SETTINGS, make_config, raw_config


def change_config(path: str, value: Any) -> dict[str, Any]:
    """Return the configuration with one key set to a value, or removed if the value is None."""
    raw = raw_config()
    parent: Any = raw
    *parent_keys, last_key = path.split(".")
    for key in parent_keys:
        parent = parent[int(key)] if isinstance(parent, list) else parent[key]
    if value is None:
        del parent[last_key]
    else:
        parent[last_key] = value
    return raw


def test_a_good_configuration() -> None:
    config = make_config()
    assert config.classes == ("lot-video", "lot-image", "bid")
    assert (config.listen, config.changelog) == (("127.0.0.1", 5050), ("127.0.0.1", 7070))
    assert (config.seed, config.known_seq, config.report_on_probe) == (0x8C1F30D27A5BE964, 1, True)
    assert config.settings.reports == ("load", "hits")


def test_simulator_and_front_read_settings_alike() -> None:
    pairs = dict(flatten_settings(SETTINGS))
    conf = "\n".join(f"{key}={value}" for key, value in pairs.items()).encode()
    assert decode_settings(conf) == read_settings(pairs) == make_config().settings


def test_environment_takes_precedence_and_unknown_keys_are_ignored() -> None:
    config = read_front(raw_config(other={"a": [1]}), {"ROUTER_NAME": "n7", "ROUTER_LISTEN": "127.0.0.4:1"})
    assert (config.name, config.listen) == ("n7", ("127.0.0.4", 1))


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("name", None, "name"),
        ("settings.rules.cold_from", 1.5, "rules.cold_from"),
        ("settings.family_info.upper_cold_from", -0.1, "upper_cold_from"),
        ("settings.limits.probes", False, "settings.report.how"),  # load reports need health checks
        ("listen", "localhost", "listen"),
        ("listen", "127.0.0.1:70000", "listen"),
        ("changelog", None, "changelog"),
        ("seed", "xyz", "seed"),
        ("seed", True, "seed"),
        ("limits", [], "limits"),
        ("limits.memory_mb", "192", "limits.memory_mb"),
        ("limits.memory_mb", 3, "limits.memory_mb"),
        ("limits.sockets", 10, "limits.sockets"),
        ("known", {"seq": 0, "results": []}, "known"),
        ("known", {"seq": 0}, "known"),
        ("settings", None, "settings"),
        ("settings.zone", 9, "settings.zone"),
        ("settings.zone", -1, "zone"),
        ("settings.zones", "hub", "settings.zones"),
        ("settings.skus", [1], "settings.skus"),
        ("settings.services", 3, "services"),
        ("settings.services.1.name", None, "settings.services.1.name"),
        ("settings.services.2.effect", "often", "services.2.effect"),
        ("settings.services.0.hard_limit", 0, "services.0.hard_limit"),
        ("settings.services.0.worth", "much", "services.0.worth"),
        ("settings.rules.tip_after", None, "rules.tip_after"),
        ("settings.rules.cold_from", "NaN", "rules.cold_from"),
        ("settings.limits.multiplex", 0, "settings.limits.multiplex"),
        ("settings.limits.cancel", "maybe", "limits.cancel"),
        ("settings.replicas_of_me", 0, "replicas_of_me"),
        ("settings.report.fields", None, "settings.report.fields"),
    ],
)
def test_errors_name_their_key(path: str, value: Any, named: str) -> None:
    with pytest.raises(SettingsError) as error:
        read_front(change_config(path, value), {})
    assert named in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("raw", [None, [], 3, "x", {}])
def test_a_value_other_than_an_object_is_rejected(raw: Any) -> None:
    with pytest.raises(SettingsError):
        read_front(raw, {})


def test_unreadable_files_are_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match="ROUTER_CONFIG is not set"):
        load_front({})
    with pytest.raises(SettingsError, match="can't be read"):
        load_front({"ROUTER_CONFIG": str(tmp_path / "none.json")})
    (tmp_path / "bad.json").write_bytes(b"{\xff")
    with pytest.raises(SettingsError, match="not JSON"):
        load_front({"ROUTER_CONFIG": str(tmp_path / "bad.json")})


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "quincepier", *arguments], capture_output=True, text=True, check=False
    )


def test_check_config_prints_a_summary_or_exits_with_2_and_one_line(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(json.dumps(raw_config()))
    bad.write_text(json.dumps(change_config("settings.rules.tip_after", None)))
    completed = command("check-config", "--config", str(good))
    assert (completed.returncode, completed.stderr) == (0, "") and "configuration is good" in completed.stdout
    for verb in ("check-config", "serve"):
        completed = command(verb, "--config", str(bad))
        assert (completed.returncode, completed.stdout) == (2, "")
        assert "rules.tip_after" in completed.stderr and len(completed.stderr.splitlines()) == 1


def test_version_help_and_invalid_commands() -> None:
    assert command("version").stdout == f"quincepier {__version__}\n"
    help_output = command("--help")
    assert help_output.returncode == 0 and all(
        word in help_output.stdout for word in ("serve", "check-config", "version")
    )
    invalid = command("server")
    assert invalid.returncode == 2 and "Usage" in invalid.stderr


def test_the_example_configuration_is_good() -> None:
    completed = command("check-config", "--config", "deploy/example.json")
    assert completed.returncode == 0, completed.stderr
