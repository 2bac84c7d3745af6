"""Tables of the store that are read in several pages."""

import asyncio
from collections.abc import Callable

import pytest
from aiohttp import web
from kumquat_platform import store as platform_store
from kumquat_platform.store import PlatformStore

from kumquat_core.settings import Address
from kumquat_relay.protocols import StateKind

from .fake_store import FakeStore
from .fakes import FakeEngine


def test_change_between_two_pages_is_not_missed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The version of the last page was taken for that of all pages, so a
    change of an earlier page meanwhile was never received."""
    monkeypatch.setattr(platform_store, "MAX_PAGE_ROWS", 2)

    async def main() -> None:
        fake = FakeStore()
        await fake.start()
        store = PlatformStore(fake.address)
        engines = [FakeEngine(f"e{number}") for number in range(5)]
        for engine in engines:
            engine.address = Address("127.0.0.1", 8080)
            fake.put("servers", engine.id, engine.entry("service"))
        answer: Callable[[web.BaseRequest], web.Response] = fake._get
        pages = 0

        def change_after_the_first_page(request: web.BaseRequest) -> web.Response:
            nonlocal pages
            response = answer(request)
            pages += 1
            if pages == 1:
                fake.put("servers", "e0", engines[0].entry("service", "draining"))
                fake.put("servers", "e4", engines[4].entry("service", "draining"))
            return response

        fake._get = change_after_the_first_page  # type: ignore[method-assign]
        try:
            read = await store.read(StateKind.ENGINES)
            assert pages == 3
            # A row of a later page may be newer than the first page.
            assert [item.problem for item in read.items] == [""] * 5
            assert not read.items[0].value.draining and read.items[4].value.draining
            changes = await store.wait_for_changes(StateKind.ENGINES, read.version, 0.0)
            changed = [item.key for item in changes.items if item.value.draining]
            assert "e0" in changed
        finally:
            await store.close()
            await fake.stop()

    asyncio.run(main())
