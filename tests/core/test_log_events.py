"""Log lines that a value of another program breaks, or that fail."""

import logging
import sys

import pytest

from kumquat_core.log_events import (
    FIELDS_ATTRIBUTE,
    MAX_VALUE_CHARACTERS,
    KeyValueFormatter,
)


@pytest.mark.parametrize(
    "value", ["a\r\nb", "\x1b[2J", "\x00", "\ud800", "\u2028", 'a "b" \\', ""]
)
def test_any_value_is_one_line_that_can_be_encoded(value: str) -> None:
    record = logging.makeLogRecord({"msg": "event", FIELDS_ATTRIBUTE: {"key": value}})
    line = KeyValueFormatter().format(record)
    line.encode()
    assert line.isprintable()


def test_a_long_value_does_not_make_the_line_as_long() -> None:
    """A host sent the name of a service with a million characters, which
    another one logged whole."""
    fields = {"short": "a", "long": "x" * 1_000_000, "later": "b"}
    record = logging.makeLogRecord({"msg": "event", FIELDS_ATTRIBUTE: fields})
    line = KeyValueFormatter().format(record)
    assert len(line) < 2 * MAX_VALUE_CHARACTERS
    assert "short=a" in line and "later=b" in line
    assert "(1000000 characters)" in line


def test_a_traceback_is_logged_whole() -> None:
    try:
        raise ValueError("x" * 2 * MAX_VALUE_CHARACTERS + "end")
    except ValueError:
        record = logging.LogRecord(
            "name", logging.ERROR, "", 0, "event", None, sys.exc_info()
        )
    assert "xend" in KeyValueFormatter().format(record)
