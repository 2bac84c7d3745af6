"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys

__all__ = ["KeyValueFormatter", "configure_logging", "log_event"]

FIELDS_ATTRIBUTE = "event_fields"
QUOTED_CHARACTERS = ' "=\n\t'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as ``time=... level=... logger=... event=...``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, without a line break."""
        fields: dict[str, object] = {
            "time": self._time(record),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        fields.update(getattr(record, FIELDS_ATTRIBUTE, {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quote(value)}" for key, value in fields.items())

    def _time(self, record: logging.LogRecord) -> str:
        """Return the time with milliseconds, so that lines can be sorted."""
        seconds = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        return f"{seconds}.{int(record.msecs):03d}"


def _quote(value: object) -> str:
    text = str(value)
    if text and not any(character in text for character in QUOTED_CHARACTERS):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\t", "\\t") + '"'


def log_event(
    logger: logging.Logger, event: str, *, level: int = logging.INFO, **fields: object
) -> None:
    """Log one event with its fields; ``None`` values are left out."""
    if not logger.isEnabledFor(level):
        return
    present = {key: value for key, value in fields.items() if value is not None}
    logger.log(level, event, extra={FIELDS_ATTRIBUTE: present})


def configure_logging(level: str) -> None:
    """Send all logs of the process to standard error as key=value lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
