"""`rattanworks bench`: seeded benchmarks."""

from rattanworks.commands.base import EXIT_SUCCESS, Command
from rattanworks.utils.codec import encode_json


class BenchCommand(Command):
    """Runs one benchmark and prints its figures."""

    name = "bench"
    help = "measure the system on this machine"

    def add_arguments(self, parser):
        """Declare a subcommand for each benchmark."""
        # Imported here to keep the benchmarks out of the memory of nodes.
        from rattanworks.bench.registry import BENCHES

        subparsers = parser.add_subparsers(dest="bench", required=True, metavar="NAME")
        for bench in BENCHES:
            subparser = subparsers.add_parser(bench.name, help=bench.help)
            subparser.add_argument("--seed", type=int, default=1)
            subparser.add_argument("--json", action="store_true")
            subparser.add_argument(
                "--report", metavar="DIR", help="add the run to a page with plots"
            )
            bench.add_arguments(subparser)
            subparser.set_defaults(bench_run=bench.run)

    def run(self, arguments):
        """Run the benchmark and print a table, or one JSON object on the last line."""
        report = arguments.bench_run(arguments)
        if arguments.report:
            _add_to_report(report, arguments)
        if arguments.json:
            print(encode_json({"seed": report.seed, **report.figures}).decode())
            return EXIT_SUCCESS
        print(f"{report.name}, seed {report.seed}")
        for line in _format_figures(report.figures, "  "):
            print(line)
        return EXIT_SUCCESS


def _add_to_report(report, arguments):
    # Imported here because the plotting library is an optional dependency.
    from rattanworks.bench.report import add_run

    add_run(arguments.report, report)


def _format_figures(figures, indent):
    for name, value in figures.items():
        is_nested = isinstance(value, dict) and any(
            isinstance(item, dict) for item in value.values()
        )
        if is_nested:
            yield f"{indent}{name}"
            yield from _format_figures(value, indent + "  ")
        else:
            yield f"{indent}{name:<36} {_format_value(value)}"


def _format_value(value):
    if isinstance(value, dict):
        return "  ".join(f"{key}={_format_value(item)}" for key, item in value.items())
    return f"{value:g}" if isinstance(value, float) else str(value)
