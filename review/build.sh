#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs that use
# only the standard library (harness.py and case.py), so that nothing has to be
# compiled; this checks that they can be run.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile harness.py ./*/case.py
