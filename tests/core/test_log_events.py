"""Log lines that a value of another program breaks, or that fail."""

import logging

import pytest

from kumquat_core.log_events import FIELDS_ATTRIBUTE, KeyValueFormatter


@pytest.mark.parametrize(
    "value", ["a\r\nb", "\x1b[2J", "\x00", "\ud800", "\u2028", 'a "b" \\', ""]
)
def test_any_value_is_one_line_that_can_be_encoded(value: str) -> None:
    record = logging.makeLogRecord({"msg": "event", FIELDS_ATTRIBUTE: {"key": value}})
    line = KeyValueFormatter().format(record)
    line.encode()
    assert line.isprintable()
