"""Formats and writes one log line for each event."""

import logging
import sys
from typing import Protocol

from pythonjsonlogger.json import JsonFormatter


class TextOutput(Protocol):
    """An output for log lines."""

    def write(self, text: str) -> None:
        """Write or buffer text."""

    def flush(self) -> None:
        """Write the buffered text."""


class KeyValueFormatter(logging.Formatter):
    """Formats a log record as one line of key=value pairs.

    >>> record = logging.makeLogRecord({"msg": "started", "levelname": "INFO"})
    >>> "event=started" in KeyValueFormatter().format(record)
    True
    """

    def format(self, record):
        """Return the line for a log record.

        :param record: A record made by :func:`log_event`.
        :returns: One line without its line terminator.
        """
        fields = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname,
            "logger": record.name,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={_quote(value)}" for key, value in fields.items())


class EventJsonFormatter(JsonFormatter):
    """Formats a log record as one JSON object, with its fields at the top level."""

    def add_fields(self, log_data, record, message_dict):
        """Add the event's own fields to the line.

        :param log_data: The mapping that is written as the line; changed in place.
        :param record: The log record.
        :param message_dict: The fields that were passed in the message itself.
        """
        super().add_fields(log_data, record, message_dict)
        log_data["event"] = log_data.pop("message", record.getMessage())
        log_data.update(log_data.pop("fields", {}))


def configure_logging(
    *, format_name: str, level: str, output: TextOutput | None = None
) -> None:
    """Send all logs to one output.

    :param format_name: ``key-value`` or ``json``.
    :param level: The name of the lowest level that is logged, for example ``INFO``.
    :param output: The output for the lines; ``None`` is standard error.
    """
    handler = logging.StreamHandler(output or sys.stderr)
    if format_name == "json":
        handler.setFormatter(
            EventJsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )
    else:
        handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def log_event(logger: logging.Logger, level: int, event: str, **fields) -> None:
    """Log one event.

    :param logger: The logger of the module that the event comes from.
    :param level: A level of :mod:`logging`.
    :param event: The event's name, in lower case with hyphens.
    :param fields: The event's fields; never the text or the key of a caller.
    """
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})


def _quote(value):
    text = str(value)
    if not text or any(character in text for character in ' "=\n'):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text
