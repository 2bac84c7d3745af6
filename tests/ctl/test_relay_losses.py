"""Guards against requests that the loss report counts wrongly or omits.

The recorded lines belong to requests of a simulation with crashes, lost
responses and load bursts; the others are written by hand.
"""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from kumquatctl.log_lines import read_lines
from kumquatctl.main import app
from kumquatctl.relay_losses import account_for

RECORDED = Path(__file__).parent / "data" / "recorded_day.log"


def line(second: float, event: str, request: str = "a", **fields: object) -> str:
    words = "".join(f" {name}={value}" for name, value in fields.items())
    time = f"2026-12-04T10:00:{second:06.3f}"
    return f"h1 time={time} level=info logger=x event={event} request={request}{words}"


def reasons(*lines: str) -> dict[tuple[str, ...], int]:
    return dict(account_for(read_lines(lines, "h1")).by("outcome", "reason"))


def test_served_requests_and_losses_add_up_to_all_requests() -> None:
    result = CliRunner().invoke(app, ["relay", "losses", str(RECORDED), "--json"])
    document = json.loads(result.output)
    lost = sum(loss["count"] for loss in document["losses"])
    read = sum("event=request_read" in text for text in RECORDED.open())
    assert document["requests"] == document["served"] + lost == read


def test_a_request_without_an_end_counts_as_cut() -> None:
    assert reasons(line(1, "request_read")) == {("cut", "host_ended"): 1}


def test_a_request_cut_by_a_planned_stop_counts_once() -> None:
    """The line that ends its handler afterwards must not count again."""
    lines = [
        line(1, "request_read"),
        line(2, "request_cut", ms=1000),
        line(3, "request_ended", code=1211, reason="caller_gone", ms=1000),
    ]
    assert reasons(*lines) == {("cut", "host_stopped"): 1}


def test_logs_of_several_hosts_are_merged_by_time(tmp_path: Path) -> None:
    """The owner of the queue logs the wait; without it the run seems slow."""
    entry = tmp_path / "entry.log"
    owner = tmp_path / "owner.log"
    entry.write_text(
        "\n".join(
            [
                line(1, "request_read", objective_ms=900),
                line(3, "stream_pace", first_ms=1900, objective_ms=900),
                line(3, "request_ended", code=0, reason="complete", ms=2000),
            ]
        )
    )
    owner.write_text(line(2, "place_granted", waited_ms=1500).replace("h1 ", "h2 "))
    result = CliRunner().invoke(
        app, ["relay", "losses", str(entry), str(owner), "--json"]
    )
    (loss,) = json.loads(result.output)["losses"]
    assert (loss["outcome"], loss["reason"], loss["host"]) == ("late", "queue", "h1")


def test_a_pause_beyond_the_limit_counts_as_late() -> None:
    lines = [
        line(1, "request_read", objective_ms=900),
        line(
            2,
            "stream_pace",
            first_ms=100,
            objective_ms=900,
            max_gap_ms=400,
            allowed_gap_ms=300,
        ),
        line(3, "request_ended", code=0, reason="complete", ms=2000),
    ]
    assert reasons(*lines) == {("late", "pause"): 1}


@pytest.mark.parametrize("detail", ["500", "503_unproven", "429_unproven"])
def test_a_failure_keeps_the_last_engine_and_its_error(detail: str) -> None:
    lines = [
        line(1, "request_read"),
        line(2, "sent", engine="e1", outcome="broken", detail="reset"),
        line(3, "sent", engine="e2", outcome="answered", detail=detail),
        line(3, "request_ended", code=1301, reason="backend_answer", ms=2000),
    ]
    (loss,) = account_for(read_lines(lines, "h1")).losses
    assert (loss.engine, loss.last_error) == ("e2", f"status_{detail}")
