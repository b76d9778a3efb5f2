#!/bin/bash
# Exits with 1 if an old configuration was used too late, 0 if not, 2 if the case could not run.
exec python3 "$(dirname "$0")/case.py"
