"""The sub-commands `lab fleet` and `lab report`."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from quincepier.lab.experiment import load
from quincepier.lab.fleet.evidence import FleetRun
from quincepier.lab.fleet.rig import Rig

FORMAT = 1


class FleetRuns(msgspec.Struct, frozen=True):
    """Content of a file of fleet runs."""

    format: int
    runs: tuple[FleetRun, ...]


async def _play(rig: Rig) -> FleetRun:
    """Play a run; SIGINT and SIGTERM end it and all its processes."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, lambda: task.cancel() if task else None)
    try:
        return await rig.play()
    finally:
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.remove_signal_handler(number)


def fleet(options: Mapping[str, Any], out: Console) -> int:
    """Play an experiment; return 0, 1 if a rule broke, or 3 if a run was void or interrupted."""
    path = options["EXPERIMENT"]
    experiment = load(path)
    seeds = experiment.seeds
    if options["--seeds"]:
        seeds = tuple(int(seed) for seed in options["--seeds"].split(","))
    variants = [v for v in experiment.variants if options["--variant"] in (None, v.name)]
    if not variants:
        raise ValueError(f"{path} has no variant {options['--variant']!r}")
    if options["--keep"] and len(seeds) * len(variants) > 1:
        raise ValueError("--keep is for one run: name a seed and a variant")
    is_json, runs = options["--json"], list[FleetRun]()
    with Progress(console=out, disable=is_json or not out.is_terminal, transient=True) as progress:
        for variant, seed in [(v, s) for s in seeds for v in variants]:
            bar = progress.add_task(f"{variant.name}, seed {seed}", total=1.0)
            rig = Rig(
                path, experiment, variant, seed, checkout=options["--checkout"], keep=options["--keep"],
                progress=lambda share, bar=bar: progress.update(bar, completed=share),  # type: ignore[misc]
            )  # fmt: skip
            try:
                runs.append(asyncio.run(_play(rig)))
            except asyncio.CancelledError:
                print("quincepier: ended before the run was over", file=sys.stderr)
                return 3
            if not is_json:
                print_run(runs[-1], out)
    file_content = FleetRuns(FORMAT, tuple(runs))
    if is_json:
        sys.stdout.buffer.write(msgspec.json.encode(file_content) + b"\n")
    if options["--out"]:
        temporary_path = Path(options["--out"] + ".new")
        temporary_path.write_bytes(msgspec.json.format(msgspec.json.encode(file_content), indent=1) + b"\n")
        temporary_path.replace(options["--out"])
    if options["--report"]:
        _write(runs[-1], Path(options["--report"]), out, is_json)
    return 3 if any(run.void for run in runs) else 1 if any(run.figures.broken for run in runs) else 0


def _write(run: FleetRun, path: Path, out: Console, is_json: bool) -> None:
    from quincepier.lab import report as page

    page.write(run, path)
    if not is_json:
        out.print(f"report: {path}", highlight=False)


def print_run(run: FleetRun, out: Console) -> None:
    """Print a summary of a run in a few lines."""
    f = run.figures
    counts = f"{f.served} served, {f.late} late, {f.refused} refused, {f.failed} failed"
    out.print(
        f"{run.experiment}, {run.variant}, seed {run.seed}: worth {f.worth:.4f} (worst second "
        f"{f.worst_second:.3f}); {counts}; p99 {f.p99_ms:.0f} ms",
        highlight=False,
    )
    if run.downs:
        full_service = "not within the run" if f.full_service_s is None else f"after {f.full_service_s:.1f} s"
        fronts = len({down.front for down in run.downs})
        out.print(
            f"  {fronts} of {run.fronts} fronts were down; full service {full_service}; refusals: "
            + (
                ", ".join(
                    f"{n} {c.get('refused', 0) + c.get('refused, again', 0)}" for n, c in f.by_class.items()
                )
            ),
            highlight=False,
        )
        table = Table("stampede", "usually a second", "factor", "at the worst machine")
        for what, factor in f.stampede.items():
            worst = f"{f.stampede_worst[what]:.2f}" if what in f.stampede_worst else ""
            table.add_row(what, f"{f.usual[what]:.1f}", f"{factor:.2f}", worst)
        out.print(table)
    if run.void:
        out.print(f"  [red]void[/red]: {run.void}", highlight=False)
    for line in f.first_broken:
        out.print(f"  {line}", highlight=False)
    out.print(
        "  no rule broken" if not f.broken else f"  [red]{f.broken} broken rules[/red]", highlight=False
    )


def report(options: Mapping[str, Any], out: Console) -> int:
    """Write the HTML report of the last run in a file; return the exit code."""
    path = Path(options["RUN"])
    try:
        file_content = msgspec.json.decode(path.read_bytes(), type=FleetRuns)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: no fleet runs can be read: {error}") from None
    if file_content.format != FORMAT or not file_content.runs:
        raise ValueError(
            f"{path}: format {file_content.format} with {len(file_content.runs)} runs can't be shown"
        )
    _write(file_content.runs[-1], Path(options["--report"] or path.with_suffix(".html")), out, False)
    return 0
