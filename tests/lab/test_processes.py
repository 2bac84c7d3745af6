"""Tests of child processes: their ports, signals and exit statuses."""

import asyncio
import signal
import sys
from pathlib import Path

from kumquat_lab.processes import ChildProcess, reserve_ports

EXITS = 20


def test_reserved_port_blocks_do_not_overlap():
    """Guards against two stacks on a machine that get the same ports."""
    blocks = [reserve_ports(100) for _ in range(5)]
    ports = [port for block in blocks for port in block]
    assert len(set(ports)) == 500


async def _signal_until_exit(log_path: Path) -> list[int]:
    statuses = []
    for _ in range(EXITS):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-I", "-S", "-c", "import time; time.sleep(0.02)"
        )
        child = ChildProcess("child", process, log_path)
        exited = asyncio.ensure_future(process.wait())
        while not exited.done():
            child.send(signal.SIGCONT)
            await asyncio.sleep(0)
        statuses.append(await exited)
    return statuses


def test_signals_until_the_exit_leave_the_exit_status(tmp_path: Path):
    """A signal took the status of a child that had just exited, which was
    then reported as 255."""
    assert asyncio.run(_signal_until_exit(tmp_path / "log")) == [0] * EXITS
