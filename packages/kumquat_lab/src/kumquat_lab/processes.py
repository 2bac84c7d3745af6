"""Starts and stops the child processes of the development tools.

Only processes that this module started are stopped, each by its own id. The
kernel kills a child when the tool itself dies, so that a killed tool leaves
no process behind that occupies ports or files.
"""

import asyncio
import ctypes
import os
import random
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from .child_signals import ChildSignals

__all__ = ["ChildProcess", "ProcessGroup", "reserve_ports"]

STOP_TIMEOUT_S = 5.0
PR_SET_PDEATHSIG = 1
FIRST_PORT = 10240
LAST_PORT = 32000
BLOCK_PORTS = 128

_reserved_sockets: list[socket.socket] = []

_libc = ctypes.CDLL(None)


def _die_with_parent() -> None:
    """Make the kernel kill this process, a new child, if its parent dies."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def reserve_ports(count: int) -> list[int]:
    """Return loopback ports that no other tool on this machine reserves.

    A socket bound to the first port of a block reserves the block until this
    process exits. The blocks are below the range of outgoing connections.
    Ports that the kernel chooses are not safe: before a child listens, an
    outgoing connection of any process may get the same port.
    """
    if count > BLOCK_PORTS - 1:
        raise ValueError(f"at most {BLOCK_PORTS - 1} ports")
    starts = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.SystemRandom().shuffle(starts)
    for start in starts:
        reservation = _bind(start)
        if reservation is None:
            continue
        ports = list(range(start + 1, start + 1 + count))
        if all(map(_is_free, ports)):
            _reserved_sockets.append(reservation)
            return ports
        reservation.close()
    raise OSError("no block of free ports")


def _bind(port: int) -> socket.socket | None:
    """Return a socket bound to a port, or None if the port is in use."""
    bound_socket = socket.socket()
    try:
        bound_socket.bind(("127.0.0.1", port))
    except OSError:
        bound_socket.close()
        return None
    return bound_socket


def _is_free(port: int) -> bool:
    bound_socket = _bind(port)
    if bound_socket is None:
        return False
    bound_socket.close()
    return True


@dataclass
class ChildProcess:
    """A child process; its output is written to ``log_path``."""

    name: str
    process: asyncio.subprocess.Process
    log_path: Path
    _signals: ChildSignals = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self._signals = ChildSignals(self.process.pid)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Tell whether the process has not exited."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.running:
            self._signals.send(number)

    def cpu_s(self) -> float:
        """Return the CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")


class ProcessGroup:
    """Starts processes and stops them together."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.children_by_name: dict[str, ChildProcess] = {}

    async def start(self, name: str, module: str, *arguments: str) -> ChildProcess:
        """Start ``python -m module`` with arguments."""
        log_path = self._directory / f"{name}.log"
        with log_path.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdout=log_file,
                stderr=log_file,
                # Ctrl-C signals only the tool, which stops its children.
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        child = ChildProcess(name, process, log_path)
        self.children_by_name[name] = child
        return child

    def exited_children(self) -> list[ChildProcess]:
        """Return the processes that have exited."""
        return [item for item in self.children_by_name.values() if not item.running]

    async def stop(self) -> None:
        """Stop all processes by SIGTERM, and by SIGKILL after a timeout."""
        children = list(self.children_by_name.values())
        for child in children:
            # The second signal makes an entry host skip the rest of its drain.
            child.send(signal.SIGTERM)
            child.send(signal.SIGTERM)
        await asyncio.gather(*(self._wait(child) for child in children))
        self.children_by_name.clear()

    @staticmethod
    async def _wait(child: ChildProcess) -> None:
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await child.process.wait()
        except TimeoutError:
            child.send(signal.SIGKILL)
            await child.process.wait()
