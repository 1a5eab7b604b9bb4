"""Runs and where they are kept: one JSON file a run of an experiment, with all variants and seeds."""

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
    variant: str
    seed: int
    figures: Figures


class StoredRuns(msgspec.Struct, frozen=True):
    """What a file of runs holds."""

    format: int
    experiment: str
    runs: tuple[Run, ...]

    def of(self, variant: str) -> dict[int, Figures]:
        return {run.seed: run.figures for run in self.runs if run.variant == variant}

    @property
    def variants(self) -> list[str]:
        return list(dict.fromkeys(run.variant for run in self.runs))


def play(experiment: Experiment, variant: str, seed: int) -> Run:
    """One run, in this process."""
    chosen = next(v for v in experiment.variants if v.name == variant)
    return Run(variant, seed, World(experiment, chosen, seed).run().result())


def _play(path: str, variant: str, seed: int) -> Run:
    return play(load(path), variant, seed)


def play_all(path: str, processes: int, done: Callable[[Run], None]) -> StoredRuns:
    """Every variant with every seed, the order of the file whatever ends first."""
    experiment = load(path)
    wanted = [(variant.name, seed) for seed in experiment.seeds for variant in experiment.variants]
    runs: list[Run] = []
    for run in _runs(path, experiment, wanted, processes):
        done(run)
        runs.append(run)
    return StoredRuns(FORMAT, experiment.name, tuple(runs))


def _runs(path: str, experiment: Experiment, wanted: list[tuple[str, int]], processes: int) -> Iterator[Run]:
    if processes <= 1:
        for variant, seed in wanted:
            yield play(experiment, variant, seed)
        return
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(_play, [path] * len(wanted), *zip(*wanted, strict=True))


def keep(kept: StoredRuns, path: str) -> None:
    """Written beside and moved into place: whole or not at all."""
    place = Path(path)
    beside = place.with_name(place.name + ".new")
    beside.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n")
    beside.replace(place)


def read_kept(path: str) -> StoredRuns:
    """Raises ValueError for a file that is none of ours."""
    try:
        kept = msgspec.json.decode(Path(path).read_bytes(), type=StoredRuns)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: no runs can be read: {error}") from None
    if kept.format != FORMAT:
        raise ValueError(f"{path}: format {kept.format}, not {FORMAT}")
    return kept
