"""Watches what follows the end of a stream in good framing.

A stream that ends as others of its kind do not may have been cut: by a last
chunk amid it, or by a length that is too small.  Its connection shows that.  A
sound endpoint keeps it open and writes nothing until the next request.  One
that cut the stream writes on, or closes the connection without having
announced that.

A close tells nothing where it is usual, or if the endpoint's process ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from bulrushstream.transport.connection import Connection, Following
from bulrushstream.transport.upstream import SAME_MOMENT_S
from bulrushstream.transport.witnesses import USED_UP_S

if TYPE_CHECKING:
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.front import Front

# How long the connection must show nothing: the longest pause of the stream
# times a factor, within limits.  The route's longest pause stands in for that
# of a stream with few events.
PAUSE_FACTOR: Final = 2.0
MIN_WATCH_S: Final = 0.1
MAX_WATCH_S: Final = 1.0
MIN_EVENTS: Final = 3

# The pause between two looks at bytes that arrived and are not read yet.
POLL_S: Final = 0.02

SILENCE: Final = "nothing followed"


class EndWatch:
    """The watch of the connection of one stream that has ended.

    No other request uses the connection meanwhile.
    """

    __slots__ = (
        "_attempt",
        "_closed_s",
        "_connection",
        "_on_result",
        "_timer",
    )

    def __init__(
        self,
        attempt: Attempt,
        connection: Connection,
        on_result: Callable[[str], None],
    ) -> None:
        """Begin the watch.

        :param attempt: the attempt whose stream has just ended
        :param connection: its connection
        :param on_result: receives what shows that the stream was cut; empty:
            nothing does
        """
        self._attempt = attempt
        self._connection = connection
        self._on_result = on_result
        self._closed_s = 0.0  # When the peer closed it; 0: it has not.
        connection.watch_following(self._followed, reserve=True)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_watch_s(attempt), self._be_silent)

    def cancel(self) -> None:
        """End the watch without a result, as its request has ended."""
        self._timer.cancel()
        self._connection.stop_watching(self._followed)

    def stop(self, detail: str) -> None:
        """End the watch early; what was seen so far decides.

        :param detail: why, for the log
        """
        if self._closed_s:
            self._judge_close()
        else:
            self._end(is_cut=False, detail=detail)

    def _followed(self, following: Following) -> None:
        """Handle what followed the stream."""
        self._timer.cancel()
        if following is Following.CLOSE:
            # Others that end with the same process show it now or soon.
            self._closed_s = self._attempt.front.clock()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SAME_MOMENT_S, self._judge_close)
        else:
            is_cut = following is Following.BYTES
            self._end(is_cut=is_cut, detail=following.value)

    def _judge_close(self) -> None:
        """End the watch, as the peer closed the connection."""
        attempt = self._attempt
        front, endpoint = attempt.front, attempt.endpoint
        explained = (
            endpoint.removed
            or front.pool.is_leaving(endpoint)
            or attempt.pool.seen(self._closed_s).ended_at_once > 1
            or front.end_signs.is_close_usual(endpoint.entry.service)
        )
        self._end(is_cut=not explained, detail=Following.CLOSE.value)

    def _be_silent(self) -> None:
        """End the watch, unless something arrived that is not read yet."""
        if self._connection.has_unread_bytes():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_S, self._be_silent)
        else:
            self._end(is_cut=False, detail=SILENCE)

    def _end(self, *, is_cut: bool, detail: str) -> None:
        """Log and report the result."""
        self.cancel()
        attempt = self._attempt
        attempt.front.log_decision(
            "end_watch",
            detail,
            attempt.forward,
            endpoint=attempt.endpoint.name,
            outcome="cut" if is_cut else "whole",
            inputs={"after_event": attempt.forward.splitter.last_id or 0},
        )
        self._on_result(detail if is_cut else "")


def watch_usual(front: Front, service: str, connection: Connection) -> None:
    """Learn whether endpoints close connections that are to be kept.

    :param front: the router
    :param service: the service whose stream has just ended as usual
    :param connection: its connection
    """
    if connection.is_closed:
        return
    ended_s = front.clock()

    def followed(following: Following) -> None:
        soon = front.clock() - ended_s < USED_UP_S
        if following is Following.CLOSE and soon:
            front.end_signs.add_close(service)

    front.end_signs.add_kept(service)
    connection.watch_following(followed, reserve=False)


def _watch_s(attempt: Attempt) -> float:
    """Return how long a connection must show nothing behind a stream."""
    forward = attempt.forward
    pause_s = forward.longest_pause_s
    if forward.splitter.event_count < MIN_EVENTS:
        pause_s = max(pause_s, forward.route.max_event_gap_s)
    return min(max(MIN_WATCH_S, PAUSE_FACTOR * pause_s), MAX_WATCH_S)
