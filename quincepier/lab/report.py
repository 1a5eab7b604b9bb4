"""HTML report of a fleet's run: a single file without external resources, with plots as inline SVG."""

from __future__ import annotations

import html
import io
from collections.abc import Iterator, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from quincepier.lab.fleet.evidence import FleetRun
from quincepier.lab.tally import Figures

FIGURE_WIDTH_INCHES = 9.6
COLOURS = {"work at the origin": "#b3412e", "fills at parents": "#d98c2b", "dials": "#3f6fb0",
           "calls for the list": "#5a8f5a"}  # fmt: skip
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60em; margin: 2em auto; color: #222; padding: 0 1em }
h1 { font-size: 1.5em } h2 { font-size: 1.15em; margin-top: 2em }
table { border-collapse: collapse }
td, th { padding: .25em .9em; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child { text-align: left } svg { max-width: 100%; height: auto }
.bad { color: #b3412e; font-weight: 600 } .good { color: #3a7a3a; font-weight: 600 }
"""


def _svg(draw: Axes) -> str:
    figure = draw.get_figure()
    assert figure is not None
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight")  # type: ignore[union-attr]
    plt.close(figure)  # type: ignore[arg-type]
    text = out.getvalue()
    return text[text.index("<svg") :]


def _axes(height: float, run: FleetRun, label: str) -> Axes:
    _, axes = plt.subplots(figsize=(FIGURE_WIDTH_INCHES, height))
    axes.set_xlim(0, run.seconds)
    axes.set_xlabel("seconds")
    axes.set_ylabel(label)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    for at, kind in run.figures.marks:
        axes.axvline(at, color="#999", lw=0.8, ls="--")
        axes.text(at, 1.01, kind, transform=axes.get_xaxis_transform(), fontsize=8, color="#555")
    return axes


def _served(run: FleetRun) -> str:
    axes = _axes(2.6, run, "served share of worth")
    seconds = run.figures.seconds
    axes.step([*range(len(seconds)), len(seconds)], [*seconds, seconds[-1]], where="post", color="#2f6f4f")
    axes.set_ylim(0, 1.04)
    return _svg(axes)


def _counts(run: FleetRun) -> str:
    axes = _axes(3.0, run, "per second")
    for label, counts in sorted(run.series.items()):
        times = [n / 2 for n in range(len(counts))]
        axes.plot(times, [2 * c for c in counts], label=label, color=COLOURS.get(label), lw=1.3)
    axes.set_yscale("symlog", linthresh=10)
    axes.set_ylim(bottom=0)
    axes.legend(frameon=False, fontsize=8, loc="lower center", bbox_to_anchor=(0.5, 1.06), ncol=4)
    return _svg(axes)


def _downs(run: FleetRun) -> str:
    axes = _axes(min(1.2 + 0.13 * run.fronts, 9), run, "front")
    for down in run.downs:
        axes.barh(down.front, down.until - down.since, left=down.since, height=0.7, color="#b3412e")
    axes.set_ylim(run.fronts - 0.5, -0.5)
    return _svg(axes)


def _table(head: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = ["<table><tr>", *(f"<th>{html.escape(h)}</th>" for h in head), "</tr>"]
    for row in rows:
        lines += ["<tr>", *(f"<td>{html.escape(cell)}</td>" for cell in row), "</tr>"]
    return "".join([*lines, "</table>"])


def _worst(figures: Figures, label: str) -> str:
    return f"{figures.stampede_worst[label]:.2f}" if label in figures.stampede_worst else ""


def verdict(run: FleetRun) -> str:
    """Return the result of a run in words: void, broken rules or none."""
    if run.void:
        return f"void: {run.void}"
    if run.figures.broken:
        return f"{run.figures.broken} broken rules: {', '.join(sorted(run.accused))}"
    return "no rule broken"


def _parts(run: FleetRun) -> Iterator[str]:
    f = run.figures
    kind = "good" if run.passed else "bad"
    yield f"<h1>{html.escape(run.experiment)}: {run.fronts} fronts, {run.caches} caches</h1>"
    yield f'<p class="{kind}">{html.escape(verdict(run))}</p>'
    full = "not within the run" if f.full_service_s is None else f"{f.full_service_s:.1f} s"
    downs = len({d.front for d in run.downs})
    yield (
        f"<p>Variant {html.escape(run.variant)}, seed {run.seed}, {run.seconds:g} s. Worth served "
        f"{f.worth:.4f}, in the worst second {f.worst_second:.3f}; {f.served} served, {f.late} late, "
        f"{f.refused} refused, {f.failed} failed. {downs} fronts were down; time to full service after the "
        f"last came back: {full}.</p>"
    )
    yield "<h2>Served share of worth over time</h2>" + _served(run)
    yield "<h2>Fetches, connects and change-log calls over time</h2>" + _counts(run)
    if run.downs:
        yield "<h2>Fronts that were down</h2>" + _downs(run)
    rows = [
        (label, f"{f.usual.get(label, 0):.1f}", f"{factor:.2f}", _worst(f, label))
        for label, factor in f.stampede.items()
    ]
    if rows:
        yield "<h2>Stampede factors</h2>"
        yield "<p>Peak rate of 500 ms after the first fault on fronts over the mean before any fault.</p>"
        yield _table(("what", "usually a second", "factor", "at the worst machine"), rows)
    yield "<h2>Latency of served requests</h2>"
    yield _table(("percentile", "ms"), [(p, f"{ms:.1f}") for p, ms in run.percentiles_ms.items()])
    yield "<h2>Resources used by each component</h2>"
    used = [(n, str(p.processes), f"{p.cpu_s:.1f}", f"{p.memory_mb:.0f}") for n, p in run.parts.items()]
    yield _table(("part", "processes", "CPU s", "memory MB, largest"), used)
    yield "<h2>Rules</h2>"
    yield _table(("rule", "looked at"), [(rule, str(n)) for rule, n in f.rules.items()])
    if f.first_broken:
        yield "<pre>" + html.escape("\n".join(f.first_broken)) + "</pre>"


def write(run: FleetRun, path: Path) -> None:
    """Write the report of a run to a file."""
    with matplotlib.rc_context({"svg.hashsalt": "quincepier", "font.size": 9}):
        body = "\n".join(_parts(run))
    title = html.escape(f"{run.experiment}, seed {run.seed}")
    head = (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
    )
    path.write_text(f"{head}\n{body}\n</html>\n", encoding="utf-8")
