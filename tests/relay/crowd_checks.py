"""What a host has to keep to while a crowd sends to it, and afterwards.

The checks are those of the stated target: memory in private and bytes that
were received and not read stay below the memory of the machine together.
"""

import asyncio
import contextlib
from dataclasses import dataclass

from .crowd import CrowdPlan, crowd_at
from .crowd_forms import BODY_BYTES
from .intake_host import BoundedHost

__all__ = [
    "CALLERS",
    "FORMS",
    "MANY_CALLERS",
    "MANY_FORMS",
    "MAX_DESCRIPTORS",
    "MEMORY_MB",
    "MIXED",
    "CrowdPeak",
    "check_crowds",
]

# What most machines of the large deployments have, and the least of them.
MEMORY_MB = (128, 88)
MAX_DESCRIPTORS = 4_100
CALLERS = 240
SECONDS = 3.0
# More than may be open, for the forms that take little each.
MANY_CALLERS = 3_840
SAMPLE_S = 0.02
FORMS = (
    "declared",
    "whole",
    "large_chunks",
    "one_chunk",
    "tiny_chunks",
    "padded_sizes",
    "trickle",
    "extension",
    "trailers",
    "short_trailers",
    "pipelined",
    "pipelined_headers",
    "small_pipelined",
    "upgrade",
    "many_headers",
    "endless_head",
    "empty_lines",
    "bad_chunks",
    "bad_chunks_behind_refusal",
    "unread",
)
MANY_FORMS = (
    "idle",
    "long_head",
    "short_headers_head",
    "short_body",
    "short_headers",
)
MIXED = tuple(name for name in FORMS if name != "unread")
# The server takes its time for requests of these forms.
SLOW_FORMS = {"whole", "pipelined", "pipelined_headers", "small_pipelined", "upgrade"}


@dataclass
class CrowdPeak:
    """The most that a host had in one sample."""

    private_mb: float = 0.0
    unread_mb: float = 0.0
    total_mb: float = 0.0
    descriptors: int = 0
    answered: int = 0

    def sample(self, host: BoundedHost) -> None:
        """Take a sample of a host."""
        private, unread = host.private_mb(), host.unread_mb()
        self.private_mb = max(self.private_mb, private)
        self.unread_mb = max(self.unread_mb, unread)
        self.total_mb = max(self.total_mb, private + unread)
        self.descriptors = max(self.descriptors, host.descriptors())


async def check_crowds(
    host: BoundedHost,
    memory_mb: int,
    forms: tuple[str, ...],
    callers: int = CALLERS,
    seconds: float = SECONDS,
    waves: int = 1,
) -> None:
    """Play crowds one after another and check the host in between."""
    host.server.processing_s = 1.0 if SLOW_FORMS.intersection(forms) else 0.0
    host.server.response_bytes = BODY_BYTES if "unread" in forms else 0
    for wave in range(waves):
        plan = CrowdPlan(
            host.callers.ip,
            host.callers.port,
            host.path,
            host.extra_headers,
            forms,
            callers,
            seconds,
            wave,
        )
        peak = await _play(host, plan)
        print(
            f"{','.join(forms)} {callers} at {memory_mb} MB, wave {wave}: own "
            f"{peak.private_mb:.0f}, unread {peak.unread_mb:.0f}, together "
            f"{peak.total_mb:.0f} MB, {peak.descriptors} descriptors, "
            f"{peak.answered} ordinary; then {host.private_mb():.0f} MB"
        )
        assert host.errors() == []
        assert peak.total_mb < memory_mb
        assert peak.descriptors < MAX_DESCRIPTORS
        host.server.processing_s, host.server.response_bytes = 0.0, 0
        await host.answer()
        size = await host.answer(bytes(BODY_BYTES))
        assert size == str(BODY_BYTES).encode()


async def _play(host: BoundedHost, plan: CrowdPlan) -> CrowdPeak:
    """Play a crowd; return the peak of the host until the crowd has left."""
    peak = CrowdPeak()
    async with crowd_at(plan) as crowd:
        ended = asyncio.ensure_future(crowd.refused_names())
        ordinary = asyncio.ensure_future(_ask(host, peak))
        try:
            while not ended.done():
                assert host.process.running
                peak.sample(host)
                await asyncio.sleep(SAMPLE_S)
        finally:
            ordinary.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await ordinary
        refused = await ended
        await host.answer()
        peak.sample(host)
    # Requests that were read before may have run until now.
    await host.answer()
    assert not refused & host.server.paths, "a refused request has run"
    return peak


async def _ask(host: BoundedHost, peak: CrowdPeak) -> None:
    """Send ordinary requests one after another and count the answers."""
    while True:
        await host.answer()
        peak.answered += 1
