"""Guards against two test processes that take the same ports: a host of one
could not listen, and its callers reached a host of the other."""

import subprocess
import sys
from pathlib import Path

from .free_ports import PARTS, PORTS_PER_PROCESS, free_port

ROOT = Path(__file__).resolve().parents[2]
SCRIPT = """
import os, sys
os.getpid = lambda: {pid}
from tests.relay.free_ports import free_port
print(free_port(), flush=True)
sys.stdin.read()
"""


def test_processes_with_equal_remainders_reserve_different_ports() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", SCRIPT.format(pid=7 + number * PARTS)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for number in range(3)
    ]
    try:
        ports = {int(process.stdout.readline()) for process in processes}  # type: ignore[union-attr]
    finally:
        for process in processes:
            process.communicate()
    parts = {port // PORTS_PER_PROCESS for port in {*ports, free_port()}}
    assert len(parts) == 4
