"""A host keeps within the memory of its machine, whatever its callers send.

Guards against crowds that ended processes: bodies that stop short of their
end, heads and lines without end, and bytes that are no body. The bounds are
the memory and descriptors that the host states, and count what it has not
read.
"""

import asyncio
from pathlib import Path

import pytest

from .crowd_checks import (
    FORMS,
    MANY_CALLERS,
    MANY_FORMS,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    MIXED,
    check_crowds,
)
from .crowd_forms import BODY_BYTES
from .crowd_queue import check_answers_before_dropped_requests
from .intake_host import bounded_host


def play(
    folder: Path, memory_mb: int, forms: tuple[str, ...], **options: float
) -> None:
    async def scenario() -> None:
        async with bounded_host(
            folder, BODY_BYTES, memory_mb=memory_mb, max_descriptors=MAX_DESCRIPTORS
        ) as host:
            await check_crowds(host, memory_mb, forms, **options)

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("form", FORMS)
def test_a_crowd_of_one_form(form: str, memory_mb: int, tmp_path: Path) -> None:
    play(tmp_path, memory_mb, (form,))


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
@pytest.mark.parametrize("form", MANY_FORMS)
def test_more_callers_than_may_be_connected(
    form: str, memory_mb: int, tmp_path: Path
) -> None:
    play(tmp_path, memory_mb, (form,), callers=MANY_CALLERS)


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
def test_a_crowd_of_all_forms(memory_mb: int, tmp_path: Path) -> None:
    play(tmp_path, memory_mb, MIXED, waves=3, seconds=2.0)


@pytest.mark.parametrize("memory_mb", MEMORY_MB)
def test_ten_crowds_one_after_another(memory_mb: int, tmp_path: Path) -> None:
    """Guards against memory that each crowd leaves behind."""
    forms = ("trailers", "tiny_chunks", "pipelined")
    play(tmp_path, memory_mb, forms, waves=10, seconds=1.0)


def test_requests_behind_others_are_dropped_without_an_error(tmp_path: Path) -> None:
    """Guards against the loss of an answer to a request that has run."""

    async def scenario() -> None:
        async with bounded_host(
            tmp_path,
            BODY_BYTES,
            memory_mb=min(MEMORY_MB),
            max_descriptors=MAX_DESCRIPTORS,
        ) as host:
            await check_answers_before_dropped_requests(host)

    asyncio.run(scenario())
