"""Runs one soak from a seed: ``python -m tests.soak --seed 7 --seconds 30``.

The exit status is 0 only if every promise held, requests were served and
faults were played. A failing run prints its seed and keeps the logs of the
hosts in the folder that it names.
"""

import asyncio
import random
import shutil
import signal
import tempfile
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import typer

from .callers import Sent, SoakCaller
from .checks import broken_promises, served_share
from .faults import FaultRunner
from .world import EVENTS, SoakWorld

__all__ = ["SoakResult", "main", "run_soak"]

CALLERS = 6
HOSTS = 4
# After the last fault is undone everything serves again within this time, as
# the pages state, and then nine of ten requests are served.
RECOVERY_S = 12.0
CALM_S = 4.0
CALM_SHARE = 0.9
EXIT_SIGNALLED = 143


@dataclass
class SoakResult:
    """What one soak saw."""

    seed: int
    sent: list[Sent]
    faults: dict[str, int]
    broken: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Tell whether the soak held and really served and disturbed."""
        return not self.broken


async def run_soak(
    seed: int, seconds: float, folder: Path, hosts: int = HOSTS
) -> SoakResult:
    """Play one soak and return its result."""
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    async with SoakWorld(folder, hosts) as world:
        addresses = {key: link.address for key, link in world.caller_links.items()}
        callers = [
            SoakCaller(f"c{number}", random.Random(rng.random()), addresses)
            for number in range(CALLERS)
        ]
        faults = FaultRunner(world, rng)
        faults_end_s = loop.time() + seconds
        calling = asyncio.gather(*(caller.run() for caller in callers))
        await faults.run(faults_end_s)
        calm_s = loop.time() + RECOVERY_S
        await asyncio.sleep(RECOVERY_S + CALM_S)
        for caller in callers:
            caller.stopping = True
        await calling
        ended = [
            f"{host.host_id} ended by itself with status {host.exit_status}"
            for host in world.hosts
            if host.exit_status is not None
        ]
    sent = [item for caller in callers for item in caller.sent]
    result = SoakResult(seed, sent, dict(faults.counts), ended)
    result.broken += broken_promises(sent, world.engines, EVENTS, faults.disturbances)
    share = served_share(sent, calm_s)
    if share < CALM_SHARE:
        result.broken.append(
            f"only {share:.2f} was served after the faults: {_endings(sent, calm_s)}"
        )
    if not faults.counts:
        result.broken.append("no fault was played")
    (folder / "faults.log").write_text("\n".join([*faults.log, *result.broken]) + "\n")
    return result


def _endings(sent: list[Sent], from_s: float) -> str:
    """Return how the requests ended that began after a loop time."""
    counts = Counter(
        f"{item.route} {item.ending.value} {item.status}"
        for item in sent
        if item.began_s >= from_s
    )
    return ", ".join(f"{key} x {value}" for key, value in sorted(counts.items()))


async def _until_signal(
    soak: Coroutine[None, None, SoakResult],
) -> SoakResult:
    """Run a soak; SIGTERM cancels it, so that its hosts are ended too."""
    task = asyncio.ensure_future(soak)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main(
    seed: Annotated[int, typer.Option(help="Seed of callers and faults.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults, s.", min=1)] = 30.0,
    hosts: Annotated[int, typer.Option(help="Hosts, one process each.", min=1)] = HOSTS,
) -> None:
    """Play one soak of real host processes with faults from outside."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    try:
        result = asyncio.run(_until_signal(run_soak(seed, seconds, folder, hosts)))
    except asyncio.CancelledError as error:
        typer.echo(f"seed {seed} was ended by a signal; logs are kept in {folder}")
        raise typer.Exit(EXIT_SIGNALLED) from error
    served = sum(item.served for item in result.sent)
    counts = " ".join(f"{key}={value}" for key, value in sorted(result.faults.items()))
    typer.echo(f"seed {seed}: {len(result.sent)} requests, {served} served; {counts}")
    if result.passed:
        shutil.rmtree(folder)
        return
    for line in result.broken:
        typer.echo(f"broken: {line}")
    typer.echo(f"seed {seed} failed; logs are kept in {folder}")
    raise typer.Exit(1)
