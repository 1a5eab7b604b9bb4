"""Runs of an experiment and their JSON file, with all variants and seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec

from quincepier.lab.experiment import Experiment, load
from quincepier.lab.tally import Figures
from quincepier.lab.world import World

FORMAT = 1


class Run(msgspec.Struct, frozen=True):
    """The figures of one variant with one seed."""

    variant: str
    seed: int
    figures: Figures


class StoredRuns(msgspec.Struct, frozen=True):
    """Content of a file of runs."""

    format: int
    experiment: str
    runs: tuple[Run, ...]

    def of(self, variant: str) -> dict[int, Figures]:
        """Return a variant's figures by seed."""
        return {run.seed: run.figures for run in self.runs if run.variant == variant}

    @property
    def variants(self) -> list[str]:
        """Names of the variants, in order."""
        return list(dict.fromkeys(run.variant for run in self.runs))


def play(experiment: Experiment, variant: str, seed: int) -> Run:
    """Run one variant with one seed in this process."""
    chosen = next(v for v in experiment.variants if v.name == variant)
    return Run(variant, seed, World(experiment, chosen, seed).run().result())


def _play(path: str, variant: str, seed: int) -> Run:
    return play(load(path), variant, seed)


def play_all(path: str, processes: int, done: Callable[[Run], None]) -> StoredRuns:
    """Run every variant with every seed; results are in the order of the file, whichever run ends first."""
    experiment = load(path)
    variants_and_seeds = [
        (variant.name, seed) for seed in experiment.seeds for variant in experiment.variants
    ]
    runs: list[Run] = []
    for run in _runs(path, experiment, variants_and_seeds, processes):
        done(run)
        runs.append(run)
    return StoredRuns(FORMAT, experiment.name, tuple(runs))


def _runs(
    path: str, experiment: Experiment, variants_and_seeds: list[tuple[str, int]], processes: int
) -> Iterator[Run]:
    if processes <= 1:
        for variant, seed in variants_and_seeds:
            yield play(experiment, variant, seed)
        return
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(_play, [path] * len(variants_and_seeds), *zip(*variants_and_seeds, strict=True))


def write_runs(kept: StoredRuns, path: str) -> None:
    """Write runs to a file atomically: to a temporary file that is then renamed."""
    target = Path(path)
    temporary = target.with_name(target.name + ".new")
    temporary.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n")
    temporary.replace(target)


def read_runs(path: str) -> StoredRuns:
    """Read a file of runs.

    Raises:
        ValueError: If it can't be read or has another format.
    """
    try:
        kept = msgspec.json.decode(Path(path).read_bytes(), type=StoredRuns)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: no runs can be read: {error}") from None
    if kept.format != FORMAT:
        raise ValueError(f"{path}: format {kept.format}, not {FORMAT}")
    return kept
