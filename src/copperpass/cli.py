"""The command line: validates the settings, then runs a controller."""

from __future__ import annotations

import argparse
import sys

from copperpass import __version__
from copperpass.core.election.timings import election_timings
from copperpass.errors import SettingsError
from copperpass.settings import load
from copperpass.tuning import Tuning, load_tuning


def argument_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="copperpass",
        description="A cluster scheduler: one controller of a copperpass service.",
        epilog="LOG_LEVEL (error, info, debug) governs the log on standard error.",
    )
    parser.add_argument("--version", action="version", version=f"copperpass {__version__}")
    parser.add_argument("--config", required=True, metavar="FILE", help="the settings file (TOML)")
    parser.add_argument(
        "--operator",
        metavar="FILE",
        help="the operators' own settings (protobuf text format, see operator.proto)",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit without starting"
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run a controller until it is stopped; returns the exit code.

    0 after a normal stop or a successful `--check`; 2 for invalid settings, after one line on
    standard error with the reason. `argv` defaults to the process's arguments.
    """
    arguments = argument_parser().parse_args(argv)
    try:
        settings = load(arguments.config)
        # Raises `SettingsError` if elections would not be safe with these timings.
        election_timings(settings.cluster)
        tuning = Tuning()
        if arguments.operator:
            tuning = load_tuning(arguments.operator)
    except SettingsError as error:
        print(f"copperpass: settings: {error}", file=sys.stderr)
        return 2
    if arguments.check:
        print(f"copperpass: settings of {settings.name} are fine")
        return 0
    # Imported here because `--check` must work without a reactor.
    from copperpass.log import configure
    from copperpass.net.service import run

    configure(settings.name)
    run(settings, tuning)
    return 0
