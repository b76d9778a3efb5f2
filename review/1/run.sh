#!/bin/bash
# Exits with 1 if a task ran twice at the same time, 0 if not, 2 if the case could not run.
exec python3 "$(dirname "$0")/case.py"
