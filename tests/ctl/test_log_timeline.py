"""Guards against log lines that do not show why a request failed.

The recorded lines belong to nine requests of a simulation with crashes, lost
responses and load bursts.
"""

from pathlib import Path

import pytest
from typer.testing import CliRunner

from kumquatctl.log_lines import parse_line, read_lines
from kumquatctl.log_timeline import select_lines
from kumquatctl.main import app

RECORDED = Path(__file__).parent / "data" / "recorded_day.log"


def explain(request_id: str, *arguments: str, stdin: str | None = None) -> list[str]:
    result = CliRunner().invoke(
        app, ["explain", request_id, *arguments], input=stdin, env={"COLUMNS": "200"}
    )
    assert result.exit_code == 0, result.output
    return result.output.splitlines()


@pytest.mark.parametrize(
    ("request_id", "cause"),
    [
        ("677a05ccc7e56b65", "served on time: 94 ms"),
        (
            "0af28e529081af44",
            "failed: the deadline of the caller or the route has passed "
            "(engine i-deded00f67: cancelled after 399.4 ms)",
        ),
        (
            "f9eae76c987ee248",
            "refused: no slot was expected to be free within its objective "
            "(free slots 3, waiting 7, told to retry after 1.2 s)",
        ),
        (
            "aa0f78092d9a82bc",
            "failed: the connection to the engine broke "
            "(engine i-4b149c0492: broken ConnectionResetError after 3.7 ms)",
        ),
        (
            "6709862005c82cc9",
            "left by the caller after 4086.5 ms, after the first event "
            "(engine i-0a88f2ac0b was silent for 3500 ms)",
        ),
        (
            "582c679045851b35",
            "late: first event after 2243 ms, objective 900 ms, "
            "of which 2057 ms in the queue",
        ),
    ],
)
def test_the_last_output_line_states_the_cause(request_id: str, cause: str) -> None:
    assert explain(request_id, "--log", str(RECORDED))[-1] == cause


def test_a_request_without_a_route_is_reported_as_404() -> None:
    text = (
        "time=2026-01-01T00:00:00.000 level=info logger=x event=no_route "
        "request=r1 host=shop.example version=7"
    )
    assert explain("r1", "--log", "-", stdin=text)[-1] == (
        "answered 404: no route of the configuration matches host and path (version 7)"
    )


def test_lines_of_several_hosts_are_merged_by_time() -> None:
    lines = read_lines(RECORDED.read_text().splitlines(), "recorded")
    found = select_lines("6709862005c82cc9", lines)
    assert {line.host for line in found} == {"front-fjord-a-2", "front-fjord-c-2"}
    assert [line.time for line in found] == sorted(line.time for line in found)
    assert "engine_gone" in {line.event for line in found}


def test_logs_are_read_from_standard_input() -> None:
    output = explain("677a05ccc7e56b65", "-l", "-", stdin=RECORDED.read_text())
    assert output[-1] == "served on time: 94 ms"


def test_a_log_without_the_end_of_the_request_gives_an_unknown_cause() -> None:
    text = "\n".join(
        line
        for line in RECORDED.read_text().splitlines()
        if "6709862005c82cc9" in line and "request_ended" not in line
    )
    output = explain("6709862005c82cc9", "--log", "-", stdin=text)
    assert output[-1].startswith("unknown: the lines end with stream_pace at")


def test_a_request_cut_by_a_planned_stop_names_the_time_that_it_had_left() -> None:
    prefix = "h1 time=2026-01-01T00:00:00.000 level=info logger=x"
    lines = [
        f"{prefix} event=request_read request=ab route=r",
        f"{prefix} event=request_cut request=ab ms=1510.2 left_ms=489",
        f"{prefix} event=request_ended request=ab code=1211 reason=caller_gone",
    ]
    assert explain("ab", "--log", "-", stdin="\n".join(lines))[-1] == (
        "cut: its host exited 1510.2 ms after it was read, 489 ms before its deadline"
    )
    lines[-1] = f"{prefix} event=request_ended request=ab code=1306 reason=host_stopped"
    assert explain("ab", "--log", "-", stdin="\n".join(lines))[-1] == (
        "cut: its host exited 1510.2 ms after it was read, 489 ms before its "
        "deadline; the caller was told that it may have run"
    )


def test_a_request_that_no_line_names_is_an_error() -> None:
    result = CliRunner().invoke(app, ["explain", "gone", "--log", str(RECORDED)])
    assert result.exit_code == 11
    assert "log lines names request gone" in result.output


def test_quoted_values_keep_blanks_and_escaped_quotes() -> None:
    text = 'time=2026-01-01T00:00:00.000 event=sent detail="a \\"b\\" c=d" ms=1.5'
    line = parse_line(text, "host-1")
    assert line is not None
    assert line.host == "host-1"
    assert line.fields_by_name == {"detail": 'a "b" c=d', "ms": "1.5"}
    assert parse_line("a word and a time=", "host-1") is None


def test_a_refusal_names_the_servers_whose_limits_were_used_up() -> None:
    """Otherwise nothing shows which server took no more requests."""
    prefix = "time=2026-08-19T02:17:07.854 level=info logger=l"
    lines = [
        f"{prefix} event=request_read request=ab route=r",
        f"{prefix} event=permit_refused request=ab engine=i-1 rate_per_s=3.4",
        f"{prefix} event=permit_refused request=ab engine=i-2 rate_per_s=0.5",
        f"{prefix} event=request_ended request=ab code=1205 reason=server_limited",
    ]
    assert explain("ab", "--log", "-", stdin="\n".join(lines))[-1] == (
        "refused: the request rate that the servers had named for all hosts was "
        "used up (limits: i-1 3.4/s, i-2 0.5/s)"
    )
