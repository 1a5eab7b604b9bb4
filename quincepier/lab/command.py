"""The subcommands of `lab`."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from quincepier.config import SettingsError
from quincepier.lab.compare import Verdict, compare
from quincepier.lab.experiment import load
from quincepier.lab.runs import Run, StoredRuns, play_all, read_runs, write_runs
from quincepier.lab.tally import Figures

# The compared figures, and whether a greater value is better.
MORE_IS_BETTER_BY_FIGURE = {
    "worth": True,
    "worst_second": True,
    "refused": False,
    "late": False,
    "fetches": False,
    "p99_ms": False,
}
WIDTH = 180
STYLE = {Verdict.BETTER: "green", Verdict.WORSE: "red", Verdict.SAME: "dim"}


def run(chosen: Mapping[str, Any]) -> int:
    """Run a subcommand.

    Returns:
        The exit code: 0 success, 1 a rule was broken, 2 an unusable file, 3 a void run.
    """
    out = Console()
    if not out.is_terminal:  # output to a file: wide enough for all columns
        out = Console(width=WIDTH)
    try:
        if chosen["run"]:
            return _run(chosen["EXPERIMENT"], chosen["--out"], int(chosen["--processes"] or 1), out)
        if chosen["compare"]:
            return _compare(chosen["A"], chosen["B"], chosen["--runs"], out)
        if chosen["fleet"] or chosen["report"]:
            from quincepier.lab.fleet import command

            return command.fleet(chosen, out) if chosen["fleet"] else command.report(chosen, out)
        return _list(chosen["--folder"] or "experiments", out)
    except (SettingsError, ValueError) as error:
        print(f"quincepier: {error}", file=sys.stderr)
        return 2


def _row(run: Run) -> list[str]:
    f = run.figures
    broken = "none" if not f.broken else f"[red]{f.broken}[/red]"
    times = f"{f.p50_ms:.0f}", f"{f.p99_ms:.0f}"
    counts = f.served, f.late, f.refused, f.failed, f.fills, f.fetches
    worths = f"{f.worth:.4f}", f"{f.worst_second:.3f}"
    return [run.variant, str(run.seed), *worths, *map(str, counts), *times, broken]


def _run(path: str, output_path: str | None, processes: int, out: Console) -> int:
    table = Table("variant", "seed", "worth", "worst second", "served", "late", "refused", "failed", "fills",
                  "fetches", "p50 ms", "p99 ms", "rules broken")  # fmt: skip
    runs: list[Run] = []

    def done(run: Run) -> None:
        runs.append(run)
        table.add_row(*_row(run))

    stored_runs = play_all(path, processes, done)
    out.print(table)
    for run in runs:
        for line in run.figures.first_broken:
            out.print(f"{run.variant}, seed {run.seed}: {line}", highlight=False)
    if output_path is not None:
        write_runs(stored_runs, output_path)
        out.print(f"kept in {output_path}")
    first, *others = stored_runs.variants
    for other in others:
        out.print(_differences(first, stored_runs.of(first), other, stored_runs.of(other)))
    return 1 if any(run.figures.broken for run in runs) else 0


def _differences(name: str, first: Mapping[int, Figures], other: str, second: Mapping[int, Figures]) -> Table:
    columns = "figure", name, other, "difference", "95 in 100 between", "verdict"
    table = Table(*columns, title=f"{other} over {name}")
    for figure, more_is_better in MORE_IS_BETTER_BY_FIGURE.items():
        first_figures, second_figures = (
            {s: float(getattr(f, figure)) for s, f in side.items()} for side in (first, second)
        )
        difference = compare(first_figures, second_figures, more_is_better)
        verdict = f"[{STYLE[difference.verdict]}]{difference.verdict.value}[/]"
        between = f"{difference.low:+.4g} to {difference.high:+.4g}"
        table.add_row(
            figure,
            f"{difference.first:.4g}",
            f"{difference.second:.4g}",
            f"{difference.mean:+.4g}",
            between,
            verdict,
        )
    return table


def _side(name: str, stored_runs: StoredRuns) -> tuple[str, dict[int, Figures]]:
    variant = name if name in stored_runs.variants else stored_runs.variants[0]
    return variant, stored_runs.of(variant)


def _compare(a: str, b: str, runs: str | None, out: Console) -> int:
    """Two variants of one file of runs, or the first variants of two files."""
    if runs is not None:
        stored_runs = read_runs(runs)
        for name in (a, b):
            if name not in stored_runs.variants:
                raise ValueError(
                    f"{runs} has no variant {name!r}; there are {', '.join(stored_runs.variants)}"
                )
        out.print(_differences(a, stored_runs.of(a), b, stored_runs.of(b)))
        return 0
    (first_variant, first), (second_variant, second) = _side("", read_runs(a)), _side("", read_runs(b))
    out.print(
        _differences(f"{Path(a).name}: {first_variant}", first, f"{Path(b).name}: {second_variant}", second)
    )
    return 0


def _list(folder: str, out: Console) -> int:
    table = Table("file", "experiment", "seeds", "variants", "what it shows")
    for path in sorted(Path(folder).glob("*.yaml")):
        experiment = load(str(path))
        table.add_row(
            str(path),
            experiment.name,
            str(len(experiment.seeds)),
            ", ".join(v.name for v in experiment.variants),
            experiment.says,
        )
    out.print(table)
    return 0
