"""Runs a relay host until the platform terminates it."""

import asyncio
import logging
import signal
from collections.abc import Callable
from pathlib import Path

from kumquat_core.exit_signals import ignore_stop_signals
from kumquat_core.log_events import log_event
from kumquat_core.result_codes import RouterError
from kumquat_core.task_errors import log_task_error

from .log_output import configure_output
from .protocols import EngineDialect, StateStore
from .relay_host import RelayHost
from .relay_settings import RelayOptions, load_relay_options

__all__ = ["run_relay"]

# The platform may change the settings file without sending SIGHUP.
SETTINGS_POLL_S = 1.0

logger = logging.getLogger(__name__)


async def run_relay(
    path: Path,
    options: RelayOptions,
    make_store: Callable[[RelayOptions], StateStore],
    dialect: EngineDialect,
) -> None:
    """Run a host until SIGTERM or SIGINT, then shut it down gracefully.

    ``options`` were loaded from the settings file at ``path``, which is
    reloaded when it changes.
    """
    loop = asyncio.get_running_loop()
    log_handler = configure_output(options.log_level)
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    host = RelayHost.from_config(options, make_store(options), dialect)
    log_handler.on_dropped = host.metrics.dropped_log_lines.inc
    await host.start()
    watch_task = asyncio.ensure_future(_watch_settings(path, host, reload_requested))
    watch_task.add_done_callback(log_task_error)
    await stop_requested.wait()
    # A grace period that changes while the host stops is followed.
    await host.drain()
    watch_task.cancel()
    await host.stop()
    log_handler.flush()
    ignore_stop_signals(loop)


async def _watch_settings(
    path: Path, host: RelayHost, reload_requested: asyncio.Event
) -> None:
    """Reload the settings on SIGHUP and whenever the file changes.

    Invalid settings are logged and the previous ones stay in use.
    """
    signature = _file_signature(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
        except TimeoutError:
            if _file_signature(path) == signature:
                continue
        reload_requested.clear()
        signature = _file_signature(path)
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


def _file_signature(path: Path) -> tuple[int, int]:
    """Return the modification time and size, zeros if there is no file."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
