"""Runs a relay host until the platform stops it."""

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path

from kumquat_core.log_events import log_event
from kumquat_core.result_codes import RouterError

from .log_output import configure_output
from .protocols import EngineDialect, StateStore
from .relay_host import RelayHost
from .relay_settings import RelayOptions, load_relay_options

__all__ = ["run_relay"]

# The settings file may change without a signal.
SETTINGS_POLL_S = 1.0

logger = logging.getLogger(__name__)


async def run_relay(
    path: Path,
    options: RelayOptions,
    make_store: Callable[[RelayOptions], StateStore],
    dialect: EngineDialect,
) -> None:
    """Run a host with settings from ``path`` until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    output = configure_output(options.log_level)
    stopped, changed = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    host = RelayHost.from_config(options, make_store(options), dialect)
    output.on_dropped = host.metrics.dropped_log_lines.inc
    await host.start()
    watching = asyncio.ensure_future(_watch_settings(path, host, changed))
    await stopped.wait()
    watching.cancel()
    await host.drain()
    await host.stop()
    output.flush()


async def _watch_settings(path: Path, host: RelayHost, changed: asyncio.Event) -> None:
    """Reload the settings on SIGHUP and when the file has changed."""
    stamp = _stamp(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await changed.wait()
        except TimeoutError:
            if _stamp(path) == stamp:
                continue
        changed.clear()
        stamp = _stamp(path)
        try:
            host.reload(load_relay_options(path))
        except RouterError as error:
            log_event(
                logger,
                "reload_failed",
                level=logging.ERROR,
                code=error.code.value,
                detail=error.detail,
            )


def _stamp(path: Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
