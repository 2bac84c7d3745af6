"""Logs and counts entries in the store that cannot be read.

Load pattern: another writer leaves an odd entry among good ones, and may write
it again with each heartbeat. It is logged once for each problem until the
entry can be read again or is removed.
"""

import logging
from collections.abc import Callable

from kumquat_core.log_events import log_event

from .protocols import Change, StateKind

__all__ = ["OddEntries"]

# Entries whose problem is remembered; the oldest are forgotten first and
# logged again if they change.
MAX_REMEMBERED = 4096
MAX_KEY_CHARACTERS = 200
MAX_PROBLEM_CHARACTERS = 200

logger = logging.getLogger(__name__)


class OddEntries:
    """The entries of the store that cannot be read at present.

    ``on_entry`` is called with the kind of each such entry that is received.
    """

    def __init__(self) -> None:
        self._problems_by_key: dict[tuple[StateKind, str], str] = {}
        self.on_entry: Callable[[str], None] = lambda kind: None

    def record(self, kind: StateKind, item: Change, problem: str) -> None:
        """Count an entry that cannot be read; log it if that is new."""
        self.on_entry(kind.value)
        problem = problem[:MAX_PROBLEM_CHARACTERS]
        if kind is StateKind.CONFIGURATION:
            # Each version that operators write is another document.
            problem_id = f"{item.version} {problem}"
        else:
            problem_id = problem
        key = (kind, item.key)
        if self._problems_by_key.get(key) == problem_id:
            return
        while len(self._problems_by_key) >= MAX_REMEMBERED:
            del self._problems_by_key[next(iter(self._problems_by_key))]
        self._problems_by_key[key] = problem_id
        log_event(
            logger,
            "entry_unreadable",
            level=logging.WARNING,
            kind=kind.value,
            key=item.key[:MAX_KEY_CHARACTERS],
            version=item.version,
            problem=problem,
        )

    def forget(self, kind: StateKind, key: str) -> None:
        """Record that an entry is readable or removed."""
        self._problems_by_key.pop((kind, key), None)
