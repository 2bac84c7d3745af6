#!/bin/sh
# Builds the stand-ins of the cases: checks that they load with the modules of
# the deploy file's build, which has to run before.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 -c '
from review.standins import callers, deployment, engine, hosts, serving, store, uploads
'
