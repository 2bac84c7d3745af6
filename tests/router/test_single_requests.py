"""An entry host serves a single request within the limits of the pages."""

import asyncio

import pytest
from bounded_entry_host import bounded_entry_host

from relay.crowd_checks import MAX_DESCRIPTORS, MEMORY_MB
from relay.crowd_forms import BODY_BYTES
from relay.single_requests import REQUESTS_BY_NAME, check_single_request


@pytest.mark.parametrize("name", REQUESTS_BY_NAME)
def test_a_single_request_is_served(name: str) -> None:
    """Guards against bounds that callers within the limits meet."""

    async def scenario() -> None:
        async with bounded_entry_host(
            max_body_bytes=BODY_BYTES,
            memory_mb=min(MEMORY_MB),
            max_descriptors=MAX_DESCRIPTORS,
        ) as host:
            await check_single_request(host, name)

    asyncio.run(scenario())
