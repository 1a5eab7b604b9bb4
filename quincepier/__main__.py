"""quincepier: a request router in front of tiers of caches with one origin.

Usage:
  quincepier serve [--config FILE] [--operator FILE]
  quincepier check-config [--config FILE] [--operator FILE]
  quincepier lab run EXPERIMENT [--out FILE] [--processes N]
  quincepier lab compare A B [--runs FILE]
  quincepier lab list [--folder DIR]
  quincepier lab fleet EXPERIMENT [--out FILE] [--seeds LIST] [--variant NAME] [--checkout DIR] [--keep DIR]
                       [--report FILE] [--json]
  quincepier lab report RUN [--report FILE]
  quincepier state (show | check | prune) FOLDER
  quincepier version
  quincepier (-h | --help)

Commands:
  serve         Run one front in the foreground until SIGTERM or SIGINT.
  check-config  Read and check the configuration, print a summary, and exit.
  lab run       Run an experiment in virtual time, check its invariants, compare its variants (docs/lab.md).
  lab compare   Compare two files of runs, or two variants in the file named by --runs, paired by seed.
  lab list      List the experiments in a folder.
  lab fleet     Run an experiment with real processes on loopback and faults between them (docs/lab.md).
  lab report    Write an HTML page with plots for a file of fleet runs.
  state show    Print the state that a front has learned and stored in that folder, as JSON (docs/state.md).
  state check   Check whether each record in that folder can be read, and print a line for each.
  state prune   Remove files that can't be read or were not completely written.
  version       Print the version.

Options:
  --config FILE    The configuration, a JSON file; without it the path in ROUTER_CONFIG.
  --operator FILE  The operators' file, YAML; without it the path in ROUTER_OPERATOR, if any.
  --out FILE       Write the runs to this file, as JSON.
  --processes N    Number of runs in parallel [default: 1].
  --runs FILE      A file of runs.
  --folder DIR     The folder of experiments [default: experiments].
  --seeds LIST     Seeds in place of the experiment's, such as 1,2,3.
  --variant NAME   Run only this variant.
  --checkout DIR   Run the fronts of another checkout of quincepier, to compare with.
  --keep DIR       Keep configurations, logs and notes of the run there; for a single run.
  --report FILE    The page for the last run; `lab report` uses the run's name with .html by default.
  --json           Print the runs as JSON on the standard output, and nothing else.
  -h --help        Show this text.

Environment:
  ROUTER_CONFIG    Path of the configuration, where --config is not given.
  ROUTER_OPERATOR  Path of the operators' file, where --operator is not given.
  ROUTER_NAME      The front's name; takes precedence over the file's.
  ROUTER_LISTEN    Where clients connect, such as 127.0.0.1:5050; takes precedence over the file's.

Exit codes: 0 success; 1 the address is not available, or an experiment violated an invariant; 2 a file or the
command line is invalid, or the processes of a fleet run can't be set up on this machine; 3 a fleet run is
invalid and must be repeated. `state`: 1 a record can't be read, 2 the folder can't be used, 3 a record is of
a newer version, 4 a front uses the folder.
"""

from __future__ import annotations

import os
import sys

from quincepier.lifecycle import lean_imports, signals

if __name__ == "__main__":
    signals.install_handlers(sys.argv[1:2] == ["serve"])
    if sys.argv[1:2] == ["serve"]:
        lean_imports.import_event_loop()

from docopt import DocoptExit, docopt

from quincepier import __version__
from quincepier.config import FrontConfig, SettingsError, load_front


def summary(config: FrontConfig) -> str:
    """Return one line that describes a valid configuration."""
    host, port = config.listen
    zone = config.zones[config.settings.zone]
    return (
        f"configuration is good: front {config.name} on {host}:{port}, zone {zone}, "
        f"classes {', '.join(config.classes)}; {config.memory_mb} MB, {config.sockets} descriptors; "
        f"{len(config.known)} events known"
    )


def main(argv: list[str] | None = None) -> int:
    """Run a command line and return the exit code."""
    try:
        arguments = docopt(__doc__ or "", argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    signals.install_handlers(bool(arguments["serve"]))
    if arguments["version"]:
        print(f"quincepier {__version__}")
        return 0
    if arguments["lab"]:
        from quincepier.lab import command

        return command.run(arguments)
    if arguments["state"]:
        from quincepier.state import command as state_command
        from quincepier.state import current_timestamp

        return state_command.run(arguments, current_timestamp())
    operator_path, operators = arguments["--operator"] or os.environ.get("ROUTER_OPERATOR"), None
    try:
        if operator_path:
            from quincepier.lifecycle.operators import OperatorConfiguration

            operators = OperatorConfiguration(operator_path)
        config = load_front(
            path=arguments["--config"], parse_address=operators.parse_address if operators else None
        )
    except SettingsError as error:
        signals.ignore_signals()  # the exit code must be 2, also if a signal arrives now
        print(f"quincepier: {error}; {error.advice}", file=sys.stderr)
        return 2
    if arguments["check-config"]:
        print(summary(config) + (f"\n{operators.summary}" if operators else ""))
        return 0
    from quincepier.lifecycle import front, logs

    logs.configure_logging(operators.log_format if operators else "text")
    return front.run(config, arguments["--config"], operators)


if __name__ == "__main__":
    sys.exit(main())
