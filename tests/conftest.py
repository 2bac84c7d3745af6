"""Adds the platform's adapter, and leaves out what KNOWN-RED.txt lists.

An entry that concerns a test begins a line with its node id. The CI script
prints the whole list.
"""

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"

sys.path.insert(0, str(ROOT / "platform"))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    if not KNOWN_RED.exists():
        return
    listed = {
        line.split()[0].rstrip(":,")
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith("tests/")
    }
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.skip(reason="listed in KNOWN-RED.txt"))
