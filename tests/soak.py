"""The soak test: front processes under two or three random faults at a time, judged by the rules.

`python -m tests.soak --seeds 1-20` plays one run per seed (`--help` lists the options) with the laboratory's
rig on loopback. System calls of the fronts fail and their wall clocks are stepped (tests/faulty_front.py),
while signals, network faults, purges and restarts overlap. Prints a line per run; the exit code is 1 if a
rule broke and 3 if a run was void.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from quincepier.lab.experiment import Signal, load
from quincepier.lab.fleet.evidence import FleetRun
from quincepier.lab.fleet.rig import Rig
from tests.faulty_front import SHORT, Plan, Rule, Step

CLASSES = """
classes:
  - {name: video, share: 0.5, send_ms: 40, wanted_ms: 600, deadline_ms: 3000, worth: 2, objects: 200,
     parts: 4, sigma: 0.6}
  - {name: image, share: 0.35, send_ms: 15, wanted_ms: 400, deadline_ms: 2500, objects: 400, fresh_s: 12,
     grace_s: 10}
  - {name: bid, share: 0.15, send_ms: 5, wanted_ms: 700, deadline_ms: 3000, worth: 3, effect: unsafe,
     never_kept: true}
"""
# Fault kind, shortest and longest duration in seconds, and the fault's other settings. Commands from fronts
# are never delayed: their time of arrival at the machine counts as the time at which they were sent.
FAULT_KINDS: tuple[tuple[str, float, float, str], ...] = (
    ("term", 0.1, 1.0, "part: 0.3"),
    ("roll", 1.0, 3.0, "part: 0.5"),
    ("kill", 0.1, 1.0, "part: 0.4"),
    ("pause", 0.2, 1.8, "part: 0.5"),
    ("starve", 0.5, 2.0, "part: 0.4, size: 120"),
    ("reload", 0.1, 1.0, "part: 0.6, size: 5"),
    ("cut", 0.5, 6.0, "path: log, way: in, part: 0.6"),
    ("delay", 4.0, 8.0, "path: log, way: in, part: 0.7, size: 2500"),
    ("delay", 2.0, 6.0, "path: clients, way: out, part: 0.4, size: 30"),
    ("reset", 0.2, 3.0, "path: log, part: 0.8"),
    ("reset", 0.1, 0.6, "path: caches, part: 0.4"),
    ("silent", 0.3, 1.5, "path: caches, way: in, part: 0.4"),
    ("throttle", 0.5, 2.0, "path: clients, way: out, part: 0.4, size: 40"),
    ("drain", 0.5, 1.0, "part: 0.4"),
    ("drain", 0.5, 1.0, "part: 0.5, tier: 1"),
    ("crash", 0.3, 2.0, "part: 0.4"),
    ("crash", 0.3, 2.0, "part: 0.5, tier: 1"),
    ("lost", 0.5, 3.0, "part: 0.3"),
    ("slow", 0.5, 3.0, "part: 0.4, size: 6"),
    ("lag", 1.0, 3.0, "size: 2"),
    ("purge", 0.1, 0.2, "part: 0.6"),
    ("purge", 0.1, 0.2, "part: 0.3"),
    ("rush", 0.5, 2.0, "size: 2"),
    # connections dialled during it are established a second later, when the SYN is retransmitted
    ("cut", 0.05, 0.3, "path: caches, way: in, part: 0.5"),
    ("signals", 0.1, 0.5, "part: 0.4, size: 100"),
    ("signals", 0.1, 0.5, "part: 0.3, size: 600"),
    ("crowd", 1.0, 3.0, "part: 0.3, size: 80"),
)
SIGNAL_SERIES = (
    (Signal.RELOAD_NEW, Signal.RELOAD_SAME, Signal.RELOAD_HALF, Signal.RELOAD_WRONG, Signal.RELOAD_SAME),
    (Signal.RELOAD_HALF, Signal.RELOAD_NEW, Signal.RELOAD_NEW),
    (Signal.RELOAD_NEW, Signal.TERM, Signal.RELOAD_SAME),
    (Signal.RELOAD_WRONG, Signal.TERM, Signal.RELOAD_HALF),
    (Signal.TERM, Signal.TERM),
    (Signal.TERM, Signal.INT),
    (Signal.INT, Signal.TERM, Signal.TERM),
    (Signal.TERM, Signal.START, Signal.TERM),
)
DIAL_TIMEOUTS_MS = (400, 1900)  # shorter and longer than the retransmission of a SYN takes
DESCRIPTORS_PER_FRONT = 160  # a crowd of 80 fills the half that is for clients
# At each of these times (seconds), a number of faults in this range begin, up to so many seconds later.
FAULT_TIMES_S, FAULTS_AT_ONCE, MAX_FAULT_OFFSET_S = (4.0, 9.0), (2, 3), 0.8
# Call, errors, probability of a failure, duration in seconds.
FAILING_CALLS: tuple[tuple[str, tuple[str, ...], float, float], ...] = (
    ("accept", ("ENFILE", "EMFILE", "ENOBUFS", "ECONNABORTED", "EPROTO"), 1.0, 0.7),
    ("socket", ("ENFILE", "ENOBUFS", "EMFILE"), 1.0, 0.4),
    ("connect", ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"), 1.0, 0.4),
    ("connect", ("EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED"), 0.3, 3.0),
    ("client.recv", (SHORT,), 0.5, 20.0),
    ("client.send", (SHORT,), 0.2, 20.0),
    ("server.recv", (SHORT,), 0.3, 20.0),
    ("server.send", (SHORT,), 0.3, 20.0),
    ("server.recv", ("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"), 0.02, 3.0),
    ("server.send", ("EPIPE", "ETIMEDOUT", "EHOSTUNREACH"), 0.02, 3.0),
    ("setsockopt", ("ENOBUFS", "ENOMEM"), 0.5, 20.0),
    ("getpeername", ("ENOTCONN", "ENOBUFS"), 0.5, 20.0),
)
MAX_LATE_MS = 500  # a response up to this late only earns nothing (standing page)
SHARES = (0.0, 0.1, 0.3)  # of clients that leave early, and of those with a shortened deadline
CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)


def experiment_text(seed: int, fronts: int, seconds: float) -> str:
    """Return the experiment of a seed as YAML text."""
    chance = random.Random(f"{seed} soak")
    faults = []
    for at in FAULT_TIMES_S:
        for kind, least, most, more in chance.sample(FAULT_KINDS, chance.randint(*FAULTS_AT_ONCE)):
            begin, lasts = at + chance.uniform(0, MAX_FAULT_OFFSET_S), chance.uniform(least, most)
            if kind == "signals":
                more += f", series: [{', '.join(step.value for step in chance.choice(SIGNAL_SERIES))}]"
            faults.append(f"  - {{at: {begin:.3f}, kind: {kind}, lasts: {lasts:.3f}, {more}}}")
    return f"""
name: soak
seconds: {seconds}
seeds: [{seed}]
variants: [{{name: soak, settings: {{second_copies: {str(chance.random() < 0.5).lower()}}}}}]
fleet: {{zones: 2, fronts: {fronts}, caches: 8, parents: 2, cache_sends: 8, noticed_s: 0.4,
        sockets: {DESCRIPTORS_PER_FRONT}, dial_ms: {chance.choice(DIAL_TIMEOUTS_MS)}}}
load: {{rate: 160, lost_ms: {MAX_LATE_MS}, leaves: {chance.choice(SHARES)}, hurried: {chance.choice(SHARES)},
       garbles: {chance.choice(SHARES) / 4}, stays: true}}
{CLASSES}
faults:
{chr(10).join(faults)}
"""


def make_plan(seed: int, front: int, seconds: float, mutant: str = "") -> Plan:
    """Return the faulty system calls and clock steps of one front; `mutant`: a defect of the front itself."""
    chance = random.Random(f"{seed} {front} soak")
    rules, steps = [], []
    for call, errors, share, lasts in chance.sample(FAILING_CALLS, chance.choice((0, 1, 2, 3))):
        since = "term" if call == "accept" and chance.random() < 0.5 else "start"
        begin = chance.uniform(0, 0.6) if since == "term" else chance.uniform(1.0, seconds)
        rules.append(Rule(call, errors, share, begin, begin + lasts, since))  # type: ignore[arg-type]
    if chance.random() < 0.4:
        steps.append(Step(chance.uniform(1.0, seconds), chance.choice(CLOCK_STEPS_S)))
    return Plan(seed * 1000 + front, tuple(rules), tuple(steps), mutant)


def play(
    folder: Path,
    seed: int,
    fronts: int,
    seconds: float,
    keep: str | None = None,
    checkout: str | None = None,
    mutant: str = "",
) -> FleetRun:
    """Play and judge one run; with a `mutant`, every other front has that defect."""
    path = folder / f"soak-{seed}.yaml"
    path.write_text(experiment_text(seed, fronts, seconds))

    def command(front: int) -> Sequence[str]:
        text = make_plan(seed, front, seconds, mutant if front % 2 else "").text()
        return (sys.executable, "-O", "-m", "tests.faulty_front", text, "serve")

    loaded = load(str(path))
    rig = Rig(str(path), loaded, loaded.variants[0], seed, command=command, keep=keep, checkout=checkout)
    return asyncio.run(rig.play())


def keeps_all_rules(run: FleetRun) -> bool:
    """Return whether the run is valid and no front broke a rule or made a false claim of full service."""
    return not run.void and not run.accused


def summary(run: FleetRun) -> str:
    """Return a line about the run, followed by the first broken rules, a line each."""
    figures = run.figures
    outcome = f"void: {run.void}" if run.void else "passed" if keeps_all_rules(run) else "BROKEN"
    broken = {rule: len(fronts) for rule, fronts in run.accused.items()}
    lines = [f"seed {run.seed}: {outcome}; broken {figures.broken}, fronts by rule {broken}; {figures.rules}"]
    return "\n".join([*lines, *(f"  {line}" for line in figures.first_broken)])


def parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seeds", type=parse_seeds, default=[1])
    parser.add_argument("--fronts", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--keep", help="configurations, logs and notes, a folder a seed")
    parser.add_argument("--checkout", help="fronts of another checkout that has tests/faulty_front.py")
    parser.add_argument("--mutant", default="", help="a fault of tests/mutants.py, in every other front")
    options = parser.parse_args()
    code = 0
    for seed in options.seeds:
        with tempfile.TemporaryDirectory(prefix="quincepier-soak-") as folder:
            keep = f"{options.keep}/{seed}" if options.keep else None
            run = play(
                Path(folder), seed, options.fronts, options.seconds, keep, options.checkout, options.mutant
            )
        print(summary(run), flush=True)
        code = max(code, 3 if run.void else 0 if keeps_all_rules(run) else 1)
    return code


if __name__ == "__main__":
    sys.exit(main())
