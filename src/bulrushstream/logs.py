"""Log lines in JSON: one per decision, and a bounded number of others.

Each line is one JSON object with the time, the level, the instance and
the *event* that it is about.  A decision of a core is always logged.  Any
other line has a kind of event, of which only so many are logged in a
while; the next one that is logged tells how many were left out.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any, Final

import msgspec
from absl import flags
from absl import logging as absl_logging

from bulrushstream.state.effect import Decision

NOTES_PER_WINDOW: Final = 5
WINDOW_S: Final = 10.0
MAX_KINDS: Final = 1000
DECISION_EVENT: Final = "decision"

# Lines that are kept while nobody reads them, and the bytes of one write.
MAX_HELD_BYTES: Final = 524_288
WRITE_BYTES: Final = 65_536

_DECISION_FIELDS: Final = tuple(field.name for field in fields(Decision))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line before it is encoded."""

    instance: str  # The instance that logs.
    event: str  # What it is about.
    values: dict[str, Any]  # What there is to say.


class JsonFormatter(logging.Formatter):
    """Encodes log records as JSON lines."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        line: dict[str, Any] = {
            "time_s": round(record.created, 6),
            "level": record.levelname.lower(),
        }
        if isinstance(record.msg, LogLine):
            line["instance"] = record.msg.instance
            line["event"] = record.msg.event
            line.update(record.msg.values)
        else:
            # Libraries log plain text.
            line["event"] = record.name
            line["text"] = record.getMessage()
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class BoundedHandler(logging.Handler):
    """Writes lines without ever blocking; drops what does not fit.

    Lines are kept until `flush` is called, which the event loop does a few
    times a second.  A line tells how many were dropped before it.
    """

    dropped: int  # Lines dropped since the process started.

    def __init__(
        self, descriptor: int, max_bytes: int = MAX_HELD_BYTES
    ) -> None:
        """Take a descriptor over and make it non-blocking.

        :param descriptor: where the lines go
        :param max_bytes: how much is kept while nobody reads
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._held = bytearray()
        self._told = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line; see `logging.Handler`."""
        line = self.format(record).encode() + b"\n"
        if len(self._held) + len(line) > self._max_bytes:
            self.dropped += 1
            return
        if self.dropped > self._told:
            lost = self.dropped - self._told
            self._held += b'{"event":"lines_dropped","count":%d}\n' % lost
            self._told = self.dropped
        self._held += line

    def flush(self) -> None:
        """Write what can be written now; see `logging.Handler`."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held[:WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere to tell it.
                self._held.clear()
                return
            del self._held[:written]


@dataclass(slots=True)
class _Window:
    """How many lines of one kind were logged lately."""

    began_s: float  # When the window began.
    logged: int = 0  # Lines logged in it.
    left_out: int = 0  # Lines left out since the last one logged.


class InstanceLog:
    """The log lines of one instance."""

    _instance: str  # The instance's name.
    _now: Callable[[], float]  # The clock of the windows, in seconds.
    _windows: dict[str, _Window]  # By kind of event.

    def __init__(self, instance: str, now: Callable[[], float]) -> None:
        """Make the log of an instance.

        :param instance: The instance's name.
        :param now: A monotonic clock, in seconds.
        """
        self._instance = instance
        self._now = now
        self._windows = {}

    def decide(self, decision: Decision) -> None:
        """Log one decision of a core.

        :param decision: The decision; what it leaves empty is left out.
        """
        values = {}
        for name in _DECISION_FIELDS:
            value = getattr(decision, name)
            if value:
                values[name] = value
        values["waited_s"] = round(decision.waited_s, 6)
        line = LogLine(self._instance, DECISION_EVENT, values)
        absl_logging.info(line)

    def report(self, kind: str, text: str) -> None:
        """Log a line of text unless there were many of its kind.

        :param kind: The kind of event.
        :param text: What there is to say.
        """
        level = absl_logging.ERROR if kind == "fault" else absl_logging.INFO
        self.note(kind, level, text=text)

    def note(
        self, event: str, level: int = absl_logging.INFO, **values: object
    ) -> bool:
        """Log a line about an event unless there were many of its kind.

        :param event: The kind of event.
        :param level: How severe it is.
        :param values: What there is to say.
        :returns: Whether it was logged.
        """
        window = self._open_window(event)
        if window.logged >= NOTES_PER_WINDOW:
            window.left_out += 1
            return False
        window.logged += 1
        if window.left_out:
            values["left_out"] = window.left_out
            window.left_out = 0
        absl_logging.log(level, LogLine(self._instance, event, values))
        return True

    def _open_window(self, event: str) -> _Window:
        """Return the window of a kind, begun anew if it is over."""
        now_s = self._now()
        window = self._windows.get(event)
        if window is None:
            if len(self._windows) >= MAX_KINDS:
                self._windows.clear()
            window = self._windows[event] = _Window(now_s)
        elif now_s - window.began_s >= WINDOW_S:
            window.began_s = now_s
            window.logged = 0
        return window


def instance_log(
    instance: str, now: Callable[[], float] = time.monotonic
) -> InstanceLog:
    """Return the log of an instance; several may share a process.

    :param instance: The instance's name.
    :param now: A monotonic clock, in seconds.
    :returns: Its log.
    """
    return InstanceLog(instance, now)


def start_logging(level: int = absl_logging.INFO) -> None:
    """Send every log line of this process to stderr as JSON.

    :param level: The least severe level that is logged.
    """
    # The library warns of every line before its flags are parsed; ours
    # are not its own.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_stderrthreshold("debug")
    absl_logging.set_verbosity(level)
    absl_logging.get_absl_handler().setFormatter(JsonFormatter())
    # The HTTP client logs each request otherwise.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


def start_bounded_logging(
    descriptor: int, level: int = absl_logging.INFO
) -> BoundedHandler:
    """Send every log line of this process to a descriptor, as JSON.

    :param descriptor: where the lines go, such as standard output
    :param level: the least severe level that is logged
    :returns: the handler, which somebody has to flush
    """
    flags.FLAGS.mark_as_parsed()
    absl_logging.set_verbosity(level)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    absl_logging.get_absl_logger().handlers.clear()
    # The libraries' loggers hand their lines to the root.
    logging.getLogger().handlers[:] = [handler]
    return handler
