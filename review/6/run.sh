#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit codes: 1 broken, 0 held, 2 not run.
export TROUBLE="${TROUBLE:-1}"
exec bash "$(dirname "$0")/../standins-2/run-case.sh" PagedList 6
