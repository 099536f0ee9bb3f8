#!/bin/sh
# The variant of a small deployment. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
exec python3 -B "$(dirname "$0")/case.py" planned
