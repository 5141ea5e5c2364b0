#!/bin/sh
# Builds the stand-ins of the cases, which need the standard library alone: checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/standins.py review/*/case.py
