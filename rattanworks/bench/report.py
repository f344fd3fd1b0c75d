"""Writes an HTML page with plots of the runs stored in a folder."""

import html
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from rattanworks.exceptions import RattanworksError
from rattanworks.utils.codec import decode_json, encode_json

RUNS_FOLDER = "runs"
PAGE_FILE = "index.html"
FIGURE_INCHES = (6.4, 3.6)


@dataclass(frozen=True, slots=True)
class Plot:
    """A plot of one figure over another with one point per run.

    ``x`` and ``y`` are paths of keys in the figures of the runs of ``bench``.
    """

    title: str
    bench: str
    x: tuple[str, ...]
    y: tuple[str, ...]
    x_label: str
    y_label: str


PLOTS = (
    Plot(
        "Convergence over fleet size",
        "convergence",
        ("nodes",),
        ("convergence_seconds", "p99"),
        "nodes",
        "seconds to in force, 99 in 100",
    ),
    Plot(
        "Control traffic over fleet size",
        "convergence",
        ("nodes",),
        ("control_bytes_per_node_per_second", "mean"),
        "nodes",
        "bytes per node and second",
    ),
    Plot(
        "Time to remove a dead endpoint",
        "members",
        ("nodes",),
        ("seconds_to_remove_dead", "p99"),
        "nodes",
        "seconds, 99 in 100",
    ),
    Plot(
        "Added latency",
        "traffic",
        ("calls",),
        ("added_ms", "p99"),
        "calls",
        "milliseconds, 99 in 100",
    ),
)


@dataclass(frozen=True, slots=True)
class StoredRun:
    """A run as it is stored in the folder."""

    name: str
    seed: int
    figures: dict
    series: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    series_labels: tuple[str, str] = ("seconds", "value")


def add_run(folder, report):
    """Store a run in ``folder`` and regenerate its page.

    Raise RattanworksError when the plotting library is not installed.
    """
    runs_folder = Path(folder) / RUNS_FOLDER
    runs_folder.mkdir(parents=True, exist_ok=True)
    number = len(list(runs_folder.glob("*.json"))) + 1
    path = runs_folder / f"{number:04}-{report.name}.json"
    path.write_bytes(encode_json(report))
    write_page(folder)


def write_page(folder):
    """Draw every plot for which the stored runs have figures, and write the page."""
    folder = Path(folder)
    runs = [
        decode_json(path.read_bytes(), StoredRun)
        for path in sorted((folder / RUNS_FOLDER).glob("*.json"))
    ]
    images = [
        _draw(folder, title, lines, labels) for title, lines, labels in _drawings(runs)
    ]
    (folder / PAGE_FILE).write_text(_page(runs, images), encoding="utf-8")


def _drawings(runs):
    for plot in PLOTS:
        lines = _points(plot, runs)
        if lines:
            yield plot.title, lines, (plot.x_label, plot.y_label)
    for run in runs:
        if run.series:
            title = f"{run.name}, seed {run.seed}"
            yield title, run.series, run.series_labels


def _points(plot, runs):
    lines = defaultdict(list)
    for run in runs:
        x, y = _value(run.figures, plot.x), _value(run.figures, plot.y)
        if run.name == plot.bench and x is not None and y is not None:
            lines[str(run.figures.get("faults") or "no faults")].append((x, y))
    return {name: sorted(points) for name, points in lines.items()}


def _value(figures, path):
    for key in path:
        if not isinstance(figures, dict) or key not in figures:
            return None
        figures = figures[key]
    return figures


def _draw(folder, title, lines, labels):
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise RattanworksError(
            "plots need matplotlib: install rattanworks[report]"
        ) from error
    figure = Figure(figsize=FIGURE_INCHES, layout="constrained")
    axes = figure.subplots()
    for name, points in lines.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=name)
    axes.set(title=title, xlabel=labels[0], ylabel=labels[1], ylim=(0, None))
    axes.grid(alpha=0.3)
    axes.legend()
    file_name = "".join(c if c.isalnum() else "-" for c in title.lower()) + ".svg"
    figure.savefig(folder / file_name)
    return title, file_name


def _page(runs, images):
    parts = ["<!doctype html>", "<title>rattanworks measurements</title>"]
    parts += [
        f'<h2>{html.escape(title)}</h2><img src="{name}" alt="{html.escape(title)}">'
        for title, name in images
    ]
    parts.append("<h2>Runs</h2>")
    parts += [
        f"<h3>{html.escape(run.name)}, seed {run.seed}</h3>"
        f"<pre>{html.escape(encode_json(run.figures).decode())}</pre>"
        for run in runs
    ]
    return "\n".join(parts) + "\n"
