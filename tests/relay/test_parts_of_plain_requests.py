"""Tests that plain requests say nothing about the parts of prompts."""

from .relay_harness import RelayHarness, run_scenario
from .test_crashing_prompt_part import (
    DEADLY,
    crash_on,
    crashes,
    prompt,
    send,
    send_deadly,
)

HOSTS = 3


def test_an_answered_plain_request_does_not_clear_a_prompt_part() -> None:
    """Backend servers run no prompts, but plain services share the evidence of
    the first model service: a part was cleared there and never found."""

    async def scenario(harness: RelayHarness) -> None:
        crash_on(harness, DEADLY)
        for host in harness.hosts:
            parts = prompt("a", DEADLY, "x")
            assert (await send(harness, parts, "once", host))[0] == 200
        await send_deadly(harness, 12, "tale")
        assert crashes(harness) <= 5

    run_scenario(scenario, HOSTS)
