"""Checks that fronts of an older build and of this one work in one fleet, as processes on loopback.

    .venv/bin/python bench/mixed_versions.py OLD

OLD is a checkout of the older build (d9fcac3, before the renames). Five fronts, three of them voters,
run in six mixes; all old and all new are the controls. In each mix a cache goes through a whole
maintenance task. The leader is killed during it and restarted with its folders, in a true mix as the
other build. At the end all fronts must have the same view and the same adopted version. Printed per
mix: counts of members, the version, steps, messages and records that a front rejected (must be none),
and frames that arrived at a front still starting (the controls have them too). Exit code 1 if a check
fails.
"""

from __future__ import annotations

import re
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from quincepier.lab.fleet.rig import SERVE_COMMAND
from tests.agreementrig import FrontFleet, LogLine, run_scenario, steps_of_task

ROOT = Path(__file__).resolve().parent.parent
ALL = set(range(5))  # fronts; the first three are voters
MIXES: tuple[set[int], ...] = (ALL, set(), {0, 2, 4}, {1, 3}, {0, 1, 2}, {3, 4})  # fronts of the older build
EARLY_FRAMES_COUNTER = (
    "peer_frames_without_channel"  # a frame arrived before the front had started its other parts
)
MAINTENANCE_SECTION = """
maintenance:
  floor: 0.2
  as_before: 0.3
  wishes: [{id: first, machines: [s-1]}]
"""
STEPS = ["pending", "draining", "drained", "in_maintenance", "restored", "warming", "completed"]
OLD_STEPS = dict(zip(["waiting", "draining", "empty", "out", "back", "warming", "in"], STEPS, strict=True))
REFUSALS = (
    "peer_datagrams_rejected",
    "peer_full_states_rejected",
    "peer_stream_rejected",
    "rule_messages_rejected",
    "rule_version_rejected",
    "committed_entry_rejected",
    "stored_version_not_used",
    "unknown_version_reported",
    "voter_storage_failed",
    "front_diverged",
)
COUNTER = re.compile(r"(?:^|, )([^,]+?) (\d+)(?=, |$)")


def read_new_names() -> dict[str, str]:
    """Read the mapping of old event and counter names to new ones from docs/glossary.md."""
    section = (ROOT / "docs" / "glossary.md").read_text().split("## Log events and counters")[1]
    rows = re.findall(r"^\| `([^`]+)` \| `([a-z_]+)`", section, re.MULTILINE)
    return {old: new for old, new in rows}


class MixedFronts(FrontFleet):
    """A fleet with some fronts of another checkout; log lines are converted to this build's names."""

    def __init__(self, folder: Path, old: Path, old_fronts: set[int]) -> None:
        super().__init__(folder, self.play_scenario)
        self.old_fronts = set(old_fronts)
        self.names = read_new_names()
        self.command = lambda front: (
            ("env", f"--chdir={old}", *SERVE_COMMAND) if front in self.old_fronts else SERVE_COMMAND
        )
        self.views: dict[int, int] = {}
        self.versions: dict[int, int] = {}

    def lines_of(self, front: int) -> list[LogLine]:
        lines = super().lines_of(front)
        for line in lines:
            line.event = self.names.get(line.event, line.event)
            if line.event == "maintenance_step":
                line.fields["step"] = OLD_STEPS.get(line.fields["step"], line.fields["step"])
        return lines

    async def play_scenario(self, _: FrontFleet) -> None:
        first = await self.wait_for_leader()
        self.set_sections(MAINTENANCE_SECTION)
        await self.wait_for_line("maintenance_step", machine="s-1", step="draining")
        self.kill(first)
        if self.old_fronts not in (ALL, set()):
            self.old_fronts = self.old_fronts ^ {first}
        await self.wait_for_leader(self.now_ns)
        await self.wait_for_line("maintenance_step", machine="s-1", step="drained")
        self.start_work(1, 1.0)
        await self.restart(first)
        await self.wait_for_line("maintenance_step", machine="s-1", step="completed")
        await self.wait_until(self._do_fronts_agree, "one view and one version")
        since = self.now_ns
        for front in range(5):
            await self.wait_until(
                partial(self._has_counters_since, front, since), f"counters of front {front}"
            )

    def _do_fronts_agree(self) -> bool:
        for front in range(5):
            lines = self.lines_of(front)
            self.views[front] = next(
                (x.fields["members"] for x in lines[::-1] if x.event == "view_changed"), 1
            )
            self.versions[front] = next(
                (x.fields["number"] for x in lines[::-1] if x.event == "version_adopted"), 0
            )
        return set(self.views.values()) == {5} and len(set(self.versions.values())) == 1

    def _has_counters_since(self, front: int, since: int) -> bool:
        return any(x.event == "counters" and x.at > since for x in self.lines_of(front))

    def refusals(self) -> Counter[str]:
        """Count rejections and early frames, by counter and event."""
        found = Counter[str]()
        for line in self.lines:
            if line.event in REFUSALS:
                found[line.event] += 1
            if line.event == "counters":
                for name, _ in COUNTER.findall(line.fields["detail"]):
                    found[self.names.get(name, name)] += 1
        return Counter(
            {name: count for name, count in found.items() if name in (*REFUSALS, EARLY_FRAMES_COUNTER)}
        )


def play(old: Path, old_fronts: set[int]) -> bool:
    """Play one mix and print its result; return whether all checks passed."""
    with tempfile.TemporaryDirectory() as folder:
        rig = MixedFronts(Path(folder), old, old_fronts)
        run = run_scenario(rig)
        steps, refused = steps_of_task(rig, 1), rig.refusals()
        early = refused.pop(EARLY_FRAMES_COUNTER, 0)
        good = steps == STEPS and not refused and not run.accused and not run.figures.broken
        print(
            f"old {sorted(old_fronts)}, then {sorted(rig.old_fronts)}: "
            f"members {sorted(set(rig.views.values()))}, "
            f"versions {sorted(set(rig.versions.values()))}, steps {len(steps)} of {len(STEPS)}, "
            f"refused {dict(refused) or 'nothing'}, early frames {early}, rules broken {run.figures.broken}: "
            f"{'holds' if good else 'DOES NOT HOLD'}",
            flush=True,
        )
    return good


def main(old: str) -> int:
    """Play all mixes; return the exit code."""
    return 0 if all([play(Path(old).resolve(), mix) for mix in MIXES]) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
