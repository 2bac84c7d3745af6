"""Counts what streams have in the write buffers of their connections.

Load pattern: hundreds of streams with tens of events per second, whose
callers read them as they come. A caller that reads nothing leaves up to 64 KB
of its stream in the buffer.
"""

import asyncio
from dataclasses import dataclass

from .byte_budget import ByteBudget, Holding, Stage

__all__ = ["StreamBuffers"]


@dataclass
class _Stream:
    """``base`` bytes are counted besides the buffer, ``written`` in all."""

    transport: asyncio.Transport
    base: int
    written: int = 0
    buffered: int = 0


class StreamBuffers:
    """The write buffers of the streams of a host."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._streams_by_holding: dict[Holding, _Stream] = {}

    def begin(
        self, holding: Holding, transport: asyncio.Transport, now_s: float
    ) -> None:
        """Begin to count the buffer of a stream."""
        self._streams_by_holding[holding] = _Stream(transport, holding.taken)
        holding.stage, holding.progress_s = Stage.ANSWERING, now_s
        holding.moved = holding.progress_moved = 0

    def end(self, holding: Holding) -> None:
        """End the count of a stream."""
        self._streams_by_holding.pop(holding, None)

    def record_written(self, holding: Holding, size: int, now_s: float) -> None:
        """Record bytes that were written to a stream."""
        stream = self._streams_by_holding.get(holding)
        if stream is not None:
            stream.written += size
            self._update(holding, stream, now_s)

    def update_all(self, now_s: float) -> None:
        """Count all buffers anew, which callers have read from."""
        for holding, stream in self._streams_by_holding.items():
            self._update(holding, stream, now_s)

    def _update(self, holding: Holding, stream: _Stream, now_s: float) -> None:
        buffered = stream.transport.get_write_buffer_size()
        if buffered or stream.buffered:
            self._budget.resize(holding, stream.base + buffered)
            sent = stream.written - buffered - holding.moved
            self._budget.record_progress(holding, max(0, sent), now_s)
        if not buffered:
            # Its caller has read all there is.
            holding.progress_s = now_s
        stream.buffered = buffered
