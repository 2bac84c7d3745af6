"""Parses the structured log lines of hosts.

A line consists of ``key=value`` pairs; values with blanks are in double
quotes. A log collector may have put words before the first pair: the last of
them is the host name. Without such words the source name, usually the name of
the log file, is the host name. Lines of another form are skipped.
"""

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

__all__ = ["LogLine", "parse_line", "read_lines"]

_PAIR = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPES = {"n": "\n", "t": "\t"}


@dataclass(frozen=True)
class LogLine:
    """One logged event; ``fields_by_name`` omits time, level and logger."""

    time: str
    host: str
    event: str
    fields_by_name: Mapping[str, str]

    def get(self, name: str) -> str:
        """Return a field, or an empty string when it is absent."""
        return self.fields_by_name.get(name, "")


def read_lines(lines: Iterable[str], source: str) -> Iterator[LogLine]:
    """Yield the log lines of one source."""
    for text in lines:
        line = parse_line(text, source)
        if line is not None:
            yield line


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a parsed log line, or None for text of another form."""
    first = text.find("time=")
    if first < 0:
        return None
    pairs = {name: _unquoted(value) for name, value in _PAIR.findall(text[first:])}
    time, event = pairs.pop("time"), pairs.pop("event", "")
    if not event:
        return None
    for name in ("level", "logger"):
        pairs.pop(name, None)
    words = text[:first].split()
    return LogLine(time, words[-1] if words else source, event, pairs)


def _unquoted(value: str) -> str:
    """Return a value without its quotes and escapes."""
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", lambda match: _ESCAPES.get(match[1], match[1]), value[1:-1])
