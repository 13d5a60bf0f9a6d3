"""Entry point of `python -m copperpass`; runs the same program as `run.py`."""

import sys

from copperpass.cli import main

sys.exit(main())
