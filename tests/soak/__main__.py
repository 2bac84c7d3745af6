"""Runs a soak by ``python -m tests.soak``."""

import typer

from .soak import main

typer.run(main)
