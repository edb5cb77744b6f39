"""Log lines in JSON: one per decision, and a bounded number of others.

Each line is one JSON object with the time, the level, the instance and
the *event* that it is about.  A decision of a core is always logged.  Any
other line has a kind of event, of which only so many are logged in a
while; the next one that is logged tells how many were left out.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any, Final

import msgspec
from absl import logging as absl_logging

from bulrushstream.state.effect import Decision

NOTES_PER_WINDOW: Final = 5
WINDOW_S: Final = 10.0
MAX_KINDS: Final = 1000
DECISION_EVENT: Final = "decision"

_DECISION_FIELDS: Final = tuple(field.name for field in fields(Decision))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line before it is encoded."""

    event: str  # What it is about.
    values: dict[str, Any]  # What there is to say.


class JsonFormatter(logging.Formatter):
    """Encodes log records as JSON lines."""

    _instance: str  # The instance that logs.

    def __init__(self, instance: str) -> None:
        """Make a formatter.

        :param instance: The name of the instance that logs.
        """
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        line = {
            "time_s": round(record.created, 6),
            "level": record.levelname.lower(),
            "instance": self._instance,
        }
        if isinstance(record.msg, LogLine):
            line["event"] = record.msg.event
            line.update(record.msg.values)
        else:
            # Libraries log plain text.
            line["event"] = record.name
            line["text"] = record.getMessage()
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


@dataclass(slots=True)
class _Window:
    """How many lines of one kind were logged lately."""

    began_s: float  # When the window began.
    logged: int = 0  # Lines logged in it.
    left_out: int = 0  # Lines left out since the last one logged.


@dataclass(slots=True)
class Notes:
    """The lines that are not decisions, bounded by kind."""

    now: Callable[[], float]  # The clock of the windows, in seconds.
    windows: dict[str, _Window] = field(default_factory=dict)  # By kind.


def start_logging(instance: str, level: int = absl_logging.INFO) -> None:
    """Send every log line of this process to stderr as JSON.

    :param instance: The name of the instance that logs.
    :param level: The least severe level that is logged.
    """
    absl_logging.use_absl_handler()
    absl_logging.set_stderrthreshold("debug")
    absl_logging.set_verbosity(level)
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(instance))
    # The HTTP client logs each request otherwise.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


def log_decision(decision: Decision) -> None:
    """Log one decision of a core.

    :param decision: The decision; what it leaves empty is left out.
    """
    values = {}
    for name in _DECISION_FIELDS:
        value = getattr(decision, name)
        if value:
            values[name] = value
    values["waited_s"] = round(decision.waited_s, 6)
    absl_logging.info(LogLine(DECISION_EVENT, values))


def note(
    notes: Notes,
    event: str,
    level: int = absl_logging.INFO,
    **values: object,
) -> bool:
    """Log a line about an event unless there were many of its kind.

    :param notes: What was logged before.
    :param event: The kind of event.
    :param level: How severe it is.
    :param values: What there is to say.
    :returns: Whether it was logged.
    """
    window = _open_window(notes, event)
    if window.logged >= NOTES_PER_WINDOW:
        window.left_out += 1
        return False
    window.logged += 1
    if window.left_out:
        values["left_out"] = window.left_out
        window.left_out = 0
    absl_logging.log(level, LogLine(event, values))
    return True


def _open_window(notes: Notes, event: str) -> _Window:
    """Return the window of a kind, begun anew if it is over."""
    now_s = notes.now()
    window = notes.windows.get(event)
    if window is None:
        if len(notes.windows) >= MAX_KINDS:
            notes.windows.clear()
        window = notes.windows[event] = _Window(now_s)
    elif now_s - window.began_s >= WINDOW_S:
        window.began_s = now_s
        window.logged = 0
    return window
