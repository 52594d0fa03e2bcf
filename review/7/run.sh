#!/bin/bash
exec bash "$(dirname "$0")/../standins-2/run-case.sh" EndlessBody 7
