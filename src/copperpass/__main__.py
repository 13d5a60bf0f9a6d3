"""`python -m copperpass` is the same program as `run.py`."""

import sys

from copperpass.cli import main

sys.exit(main())
