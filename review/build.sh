#!/bin/sh
# Builds what the scripts of the review start.  The stand-ins are one module
# of the standard library's Python, so there is nothing to compile but it.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins.py */case.py
