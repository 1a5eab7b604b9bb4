"""quincepier: a request router before tiers of caches with one origin.

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
  lab run       Play an experiment in virtual time, judge the rules, compare its variants (docs/lab.md).
  lab compare   Two files of runs, or two variants of the one named by --runs, paired by seed.
  lab list      The experiments of a folder.
  lab fleet     Play an experiment by real processes on loopback, faults between them (docs/lab.md).
  lab report    An HTML page of a file of fleet runs, with plots.
  state show    What a front has learned and keeps in that folder, as JSON (docs/state.md).
  state check   Whether each record there can be read; a line each.
  state prune   Take away what can't be read or was left half written.
  version       Print the version.

Options:
  --config FILE    The configuration, a JSON file; without it the path in ROUTER_CONFIG.
  --operator FILE  The operators' file, YAML; without it the path in ROUTER_OPERATOR, if any.
  --out FILE       Keep the runs there, as JSON.
  --processes N    Runs played side by side [default: 1].
  --runs FILE      A file of runs.
  --folder DIR     Where experiments are [default: experiments].
  --seeds LIST     Seeds in place of the experiment's, such as 1,2,3.
  --variant NAME   One variant alone.
  --checkout DIR   Fronts of another checkout of quincepier, to compare with.
  --keep DIR       Keep configurations, logs and notes of the (one) run there.
  --report FILE    The page of the last run; for `lab report` the run's name with .html is the default.
  --json           The runs as JSON on the standard output, nothing else.
  -h --help        Show this text.

Environment:
  ROUTER_CONFIG    Path of the configuration, where --config is not given.
  ROUTER_OPERATOR  Path of the operators' file, where --operator is not given.
  ROUTER_NAME      The front's name; goes before the file's.
  ROUTER_LISTEN    Where clients connect, such as 127.0.0.1:5050; goes before the file's.

Exit codes: 0 done, 1 the address can't be had, or a rule broke in the laboratory, 2 a file or the command
line is at fault, or the rig can't be set up here, 3 a run of the rig is void. `state`: 1 a record can't be
read, 2 the folder is at fault, 3 a record is of a newer version, 4 a front has the folder in use.
"""

from __future__ import annotations

import os
import sys

from quincepier.lifecycle import signals

if __name__ == "__main__":
    signals.install_handlers(sys.argv[1:2] == ["serve"])

from docopt import DocoptExit, docopt

from quincepier import __version__
from quincepier.config import FrontConfig, SettingsError, load_front


def summary(config: FrontConfig) -> str:
    host, port = config.listen
    zone = config.zones[config.settings.zone]
    return (
        f"configuration is good: front {config.name} on {host}:{port}, zone {zone}, "
        f"classes {', '.join(config.classes)}; {config.memory_mb} MB, {config.sockets} descriptors; "
        f"{len(config.known)} events known"
    )


def main(argv: list[str] | None = None) -> int:
    try:
        chosen = docopt(__doc__ or "", argv)
    except DocoptExit as error:
        print(error, file=sys.stderr)
        return 2
    signals.install_handlers(bool(chosen["serve"]))
    if chosen["version"]:
        print(f"quincepier {__version__}")
        return 0
    if chosen["lab"]:
        from quincepier.lab import command

        return command.run(chosen)
    if chosen["state"]:
        from quincepier.state import command as state_command
        from quincepier.state import current_timestamp

        return state_command.run(chosen, current_timestamp())
    place, operators = chosen["--operator"] or os.environ.get("ROUTER_OPERATOR"), None
    try:
        if place:
            from quincepier.lifecycle.operators import OperatorConfiguration

            operators = OperatorConfiguration(place)
        config = load_front(path=chosen["--config"], judge=operators.parse_address if operators else None)
    except SettingsError as error:
        signals.ignore_signals()  # it ends with the code that tells why
        print(f"quincepier: {error}; {error.advice}", file=sys.stderr)
        return 2
    if chosen["check-config"]:
        print(summary(config) + (f"\n{operators.summary}" if operators else ""))
        return 0
    from quincepier.lifecycle import front, logs

    logs.configure_logging(operators.log_format if operators else "text")
    return front.run(config, chosen["--config"], operators)


if __name__ == "__main__":
    sys.exit(main())
