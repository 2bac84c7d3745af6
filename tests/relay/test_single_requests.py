"""A relay host serves a single request within the limits of the pages."""

import asyncio
from pathlib import Path

import pytest

from .crowd_checks import MAX_DESCRIPTORS, MEMORY_MB
from .crowd_forms import BODY_BYTES
from .intake_host import bounded_host
from .single_requests import REQUESTS_BY_NAME, check_single_request


@pytest.mark.parametrize("name", REQUESTS_BY_NAME)
def test_a_single_request_is_served(name: str, tmp_path: Path) -> None:
    """Guards against bounds that callers within the limits meet."""

    async def scenario() -> None:
        async with bounded_host(
            tmp_path,
            BODY_BYTES,
            memory_mb=min(MEMORY_MB),
            max_descriptors=MAX_DESCRIPTORS,
        ) as host:
            await check_single_request(host, name)

    asyncio.run(scenario())
