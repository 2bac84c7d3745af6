"""Guards against a pause of a sound server that is taken for its end.

Engines and backend servers may fall silent for 0.6 to 1.6 s and go on.
"""

import asyncio

import pytest

from kumquat_core.result_codes import ResultCode, RouterError
from kumquat_lab.model_harness import ModelHarness
from kumquat_lab.virtual_time import run_in_virtual_time

PAUSE_S = 1.6


@pytest.mark.parametrize("pause_s", [0.6, PAUSE_S])
def test_pause_during_a_transfer_is_no_failure_of_the_engine(pause_s):
    """The import ended after 0.5 s: the prefill was wasted and the engine
    blocked, and once the retry budget was used up the request failed."""

    async def main(_):
        harness = ModelHarness()

        async def import_cache(*arguments):
            try:
                async with asyncio.timeout(arguments[-1]):
                    await asyncio.sleep(pause_s)
            except TimeoutError as error:
                raise RouterError(ResultCode.TRANSFER_FAILED) from error

        harness.engines.import_cache = import_cache
        stats = await harness.run()
        assert harness.is_complete
        return stats.attempts, [item.failed_engine for item in harness.owner.releases]

    assert run_in_virtual_time(main) == (1, [""])
