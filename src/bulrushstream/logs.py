"""Structured logs: one JSON line per decision, other lines rate-limited.

Each line is a JSON object with the time, the level, the instance and the
*event*.  Decisions of the cores are always logged.  Other events are
limited to `LINES_PER_WINDOW` lines per event within `WINDOW_S` seconds; the
next line of the event has the number of suppressed lines as ``left_out``.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, fields
from typing import Any, Final

import msgspec
from absl import flags
from absl import logging as absl_logging

from bulrushstream.state.effect import Decision
from bulrushstream.state.usage import ShareReport

LINES_PER_WINDOW: Final = 5
WINDOW_S: Final = 10.0
MAX_WINDOWS: Final = 1000
DECISION_EVENT: Final = "decision"
SHARES_EVENT: Final = "shares"

# A line about shares names at most this many workspaces, those that
# requested most.
MAX_LOGGED_WORKSPACES: Final = 40

# The buffer for lines that the reader has not taken yet, and the largest
# single write.
MAX_BUFFER_BYTES: Final = 524_288
WRITE_BYTES: Final = 65_536

_DECISION_FIELDS: Final = tuple(field.name for field in fields(Decision))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line before it is encoded."""

    instance: str
    event: str
    values: dict[str, Any]  # More members of the JSON object.


class JsonFormatter(logging.Formatter):
    """Encodes log records as JSON lines."""

    def format(self, record: logging.LogRecord) -> str:
        """Encode a record as one line of JSON."""
        line: dict[str, Any] = {
            "time_s": round(record.created, 6),
            "level": record.levelname.lower(),
        }
        if isinstance(record.msg, LogLine):
            line["instance"] = record.msg.instance
            line["event"] = record.msg.event
            # A line's own members never replace those that all lines have.
            line = {**record.msg.values, **line}
        else:
            # A library's record, which is plain text.
            line["event"] = record.name
            line["text"] = record.getMessage()
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class BoundedHandler(logging.Handler):
    """Buffers lines and writes them without blocking.

    The event loop calls `flush` a few times a second.  Lines that do not fit
    into the buffer, or for which there is no memory, are dropped; a
    ``lines_dropped`` line with their number precedes the next line that fits.
    """

    dropped: int  # Lines dropped since the process started.

    def __init__(
        self, descriptor: int, max_bytes: int = MAX_BUFFER_BYTES
    ) -> None:
        """Make a handler and set the descriptor to non-blocking.

        :param descriptor: the descriptor to write to
        :param max_bytes: the size of the buffer
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._reported_drops = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line; see `logging.Handler`."""
        try:
            self._append(record)
        except MemoryError:
            self.dropped += 1

    def _append(self, record: logging.LogRecord) -> None:
        """Buffer a line if there is room for it."""
        line = self.format(record).encode() + b"\n"
        if len(self._buffer) + len(line) > self._max_bytes:
            self.dropped += 1
            return
        if self.dropped > self._reported_drops:
            newly_dropped = self.dropped - self._reported_drops
            self._buffer += (
                b'{"event":"lines_dropped","count":%d}\n' % newly_dropped
            )
            self._reported_drops = self.dropped
        self._buffer += line

    def flush(self) -> None:
        """Write all that can be written now; see `logging.Handler`."""
        with suppress(MemoryError):
            self._write_buffer()

    def _write_buffer(self) -> None:
        """Write what the descriptor takes."""
        while self._buffer:
            try:
                written = os.write(
                    self._descriptor, self._buffer[:WRITE_BYTES]
                )
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error can not be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]


@dataclass(slots=True)
class _Window:
    """The rate limit's current window of one event."""

    started_s: float
    logged: int = 0  # Lines logged in the window.
    suppressed: int = 0  # Lines suppressed since the last one logged.


class InstanceLog:
    """Writes the log lines of one instance."""

    _instance: str
    _now: Callable[[], float]  # A monotonic clock, in seconds.
    _windows: dict[str, _Window]  # By event.

    def __init__(self, instance: str, now: Callable[[], float]) -> None:
        """Make the log of an instance.

        :param instance: The instance's name.
        :param now: A monotonic clock, in seconds.
        """
        self._instance = instance
        self._now = now
        self._windows = {}

    def log_decision(self, decision: Decision) -> None:
        """Log one decision of a core.

        :param decision: The decision; its empty fields are omitted.
        """
        values = {}
        for name in _DECISION_FIELDS:
            value = getattr(decision, name)
            if value:
                values[name] = value
        values["waited_s"] = round(decision.waited_s, 6)
        line = LogLine(self._instance, DECISION_EVENT, values)
        absl_logging.info(line)

    def log_shares(self, report: ShareReport) -> None:
        """Log the shares of the workspaces; not subject to the rate limit.

        Tokens stand as requested, granted and not run; for the fleet, as
        requested and granted in the window.

        :param report: The shares; the caller bounds how often they come.
        """
        busiest = sorted(
            report.demand_tokens,
            key=lambda name: report.demand_tokens[name],
            reverse=True,
        )[:MAX_LOGGED_WORKSPACES]
        limited = report.level_tokens != float("inf")
        values = {
            "throughput": round(report.throughput_tokens_per_s),
            "level_tokens": round(report.level_tokens) if limited else None,
            "window_s": report.window_s,
            "peers": report.peers,
            "oldest_peer": report.oldest_peer,
            "oldest_peer_age_s": round(report.oldest_peer_age_s, 3),
            "here": {
                name: (
                    usage.requested_tokens,
                    usage.granted_tokens,
                    usage.not_run_tokens,
                )
                for name in busiest
                if (usage := report.usage.get(name)) is not None
            },
            "fleet": {
                name: (
                    round(report.demand_tokens[name]),
                    round(report.granted_tokens.get(name, 0.0)),
                )
                for name in busiest
            },
            "unlisted": max(0, len(report.demand_tokens) - len(busiest)),
        }
        line = LogLine(self._instance, SHARES_EVENT, values)
        absl_logging.info(line)

    def report(self, kind: str, text: str) -> None:
        """Log a line of text, subject to the rate limit.

        :param kind: The event; ``fault`` is logged as an error.
        :param text: The text.
        """
        level = absl_logging.ERROR if kind == "fault" else absl_logging.INFO
        self.log_event(kind, level, text=text)

    def log_event(
        self, event: str, level: int = absl_logging.INFO, **values: object
    ) -> bool:
        """Log a line about an event, subject to the rate limit.

        :param event: The event.
        :param level: The log level.
        :param values: More members of the JSON object.
        :returns: Whether the line was logged.
        """
        window = self._current_window(event)
        if window.logged >= LINES_PER_WINDOW:
            window.suppressed += 1
            return False
        window.logged += 1
        if window.suppressed:
            values["left_out"] = window.suppressed
            window.suppressed = 0
        absl_logging.log(level, LogLine(self._instance, event, values))
        return True

    def _current_window(self, event: str) -> _Window:
        """Return an event's window; restart it if it is over."""
        now_s = self._now()
        window = self._windows.get(event)
        if window is None:
            if len(self._windows) >= MAX_WINDOWS:
                self._windows.clear()
            window = self._windows[event] = _Window(now_s)
        elif now_s - window.started_s >= WINDOW_S:
            window.started_s = now_s
            window.logged = 0
        return window


def instance_log(
    instance: str, now: Callable[[], float] = time.monotonic
) -> InstanceLog:
    """Make the log of an instance; several may share a process.

    :param instance: The instance's name.
    :param now: A monotonic clock, in seconds.
    :returns: Its log.
    """
    return InstanceLog(instance, now)


def start_logging(level: int = absl_logging.INFO) -> None:
    """Send every log line of this process to stderr as JSON.

    :param level: The lowest level that is logged.
    """
    # Without this, absl warns about each line that is logged before its
    # flags are parsed; this program does not use absl's flags.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_stderrthreshold("debug")
    absl_logging.set_verbosity(level)
    absl_logging.get_absl_handler().setFormatter(JsonFormatter())
    # At INFO, the HTTP client logs each request.
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)


def start_bounded_logging(
    descriptor: int, level: int = absl_logging.INFO
) -> BoundedHandler:
    """Send every log line of this process to a descriptor, as JSON.

    :param descriptor: the descriptor to write to, such as standard output
    :param level: the lowest level that is logged
    :returns: the handler; the caller must flush it regularly
    """
    flags.FLAGS.mark_as_parsed()
    absl_logging.set_verbosity(level)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter())
    absl_logging.get_absl_logger().handlers.clear()
    # The loggers of libraries propagate to the root logger.
    logging.getLogger().handlers[:] = [handler]
    return handler
