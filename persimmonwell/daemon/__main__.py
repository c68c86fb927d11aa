"""Run the daemon with python -m persimmonwell.daemon."""

import sys

from persimmonwell.daemon import main

sys.exit(main())
