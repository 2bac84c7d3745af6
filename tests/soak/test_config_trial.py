"""Tests that changes of the configuration lose no requests."""

import asyncio
from pathlib import Path

import pytest

from .config_changes import CHANGES
from .config_trial import ConfigTrial, log_errors
from .soak_harness import SoakHarness

SECONDS = 7.0


async def _play(
    folder: Path, seed: int, kinds: tuple[str, ...], faults: tuple[str, ...]
) -> ConfigTrial:
    async with SoakHarness(folder, host_count=2) as harness:
        trial = ConfigTrial(harness, seed, kinds, faults)
        await trial.run(SECONDS)
        return trial


@pytest.mark.parametrize(
    ("seed", "kinds", "faults"),
    [
        (1, tuple(CHANGES), ("hangup",)),
        (2, tuple(CHANGES), ("hangup", "store_link", "peer_link")),
        (3, ("idle", "header_timeout"), ("pause",)),
    ],
)
def test_changes_of_the_configuration_lose_no_requests(
    tmp_path: Path, seed: int, kinds: tuple[str, ...], faults: tuple[str, ...]
) -> None:
    """Guards against requests in any state that get neither an answer nor a
    refusal, and against kept connections that are closed too early."""
    trial = asyncio.run(_play(tmp_path, seed, kinds, faults))
    assert trial.lost() == []
    assert trial.early_closes() == []
    assert len(trial.exchanges()) > 100
    assert len(trial.changes) > 5
    assert log_errors(tmp_path) == []
