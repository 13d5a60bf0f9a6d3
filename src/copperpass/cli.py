"""The command line."""

from __future__ import annotations

import argparse
import sys

from copperpass import __version__
from copperpass.core.election.timings import election_timings
from copperpass.errors import SettingsError
from copperpass.settings import load
from copperpass.tuning import Tuning, load_tuning


def argument_parser() -> argparse.ArgumentParser:
    """Describe the command line."""
    arguments = argparse.ArgumentParser(
        prog="copperpass",
        description="A cluster scheduler: one controller of a copperpass service.",
        epilog="LOG_LEVEL (error, info, debug) governs the log on standard error.",
    )
    arguments.add_argument("--version", action="version", version=f"copperpass {__version__}")
    arguments.add_argument(
        "--config", required=True, metavar="FILE", help="the settings file (TOML)"
    )
    arguments.add_argument(
        "--operator",
        metavar="FILE",
        help="the operators' own settings (protobuf text format, see operator.proto)",
    )
    arguments.add_argument(
        "--check", action="store_true", help="check the settings and exit without starting"
    )
    return arguments


def main(argv: list[str] | None = None) -> int:
    """Run the program; returns its exit code: 2 for settings that can't be used."""
    args = argument_parser().parse_args(argv)
    try:
        settings = load(args.config)
        election_timings(settings.cluster)
        tuning = Tuning()
        if args.operator:
            tuning = load_tuning(args.operator)
    except SettingsError as error:
        print(f"copperpass: settings: {error}", file=sys.stderr)
        return 2
    if args.check:
        print(f"copperpass: settings of {settings.name} are fine")
        return 0
    from copperpass.log import configure
    from copperpass.net.service import run

    configure(settings.name)
    run(settings, tuning)
    return 0
