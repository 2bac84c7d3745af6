"""Structured logging: one line of key=value pairs per event."""

import logging
import sys

__all__ = ["KeyValueFormatter", "configure_logging", "log_event"]

FIELDS_ATTRIBUTE = "event_fields"
QUOTED_CHARACTERS = ' "=\n\t'
# Texts of other programs, such as names in messages between hosts, may have
# megabytes. Ids that tools look up in logs are far shorter than this.
MAX_VALUE_CHARACTERS = 4096


class KeyValueFormatter(logging.Formatter):
    """Formats a record as ``time=... level=... logger=... event=...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, with line breaks escaped.

        Long values are cut, except tracebacks, whose end says most.
        """
        fields: dict[str, object] = {
            "time": self._time(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, FIELDS_ATTRIBUTE, {}))
        parts = [f"{key}={_quote(_cut(str(value)))}" for key, value in fields.items()]
        if record.exc_info:
            parts.append(f"exception={_quote(self.formatException(record.exc_info))}")
        return " ".join(parts)

    def _time(self, record: logging.LogRecord) -> str:
        """Return the time with milliseconds, by which lines can be sorted."""
        seconds = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        return f"{seconds}.{int(record.msecs):03d}"


def _cut(text: str) -> str:
    """Return the beginning of a long text, and its length."""
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return f"{text[:MAX_VALUE_CHARACTERS]}... ({len(text)} characters)"


def _quote(text: str) -> str:
    """Return a text, quoted and escaped where needed."""
    is_quoted = any(character in text for character in QUOTED_CHARACTERS)
    if text and not is_quoted and text.isprintable():
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(_escape(character) for character in escaped) + '"'


def _escape(character: str) -> str:
    """Return a character, escaped unless it can be printed in a line.

    A carriage return or another control character would break a line or
    change a terminal; a surrogate cannot be encoded.
    """
    if character.isprintable():
        return character
    return character.encode("unicode_escape").decode()


def log_event(
    logger: logging.Logger, event: str, *, level: int = logging.INFO, **fields: object
) -> None:
    """Log one event with its fields; fields that are ``None`` are omitted."""
    if not logger.isEnabledFor(level):
        return
    given_fields = {key: value for key, value in fields.items() if value is not None}
    logger.log(level, event, extra={FIELDS_ATTRIBUTE: given_fields})


def configure_logging(level: str) -> None:
    """Write all logs of the process to standard error as key=value lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
