"""Answers whose end only the end of their connection shows.

A process that is killed ends such an answer in the same way, and a faulty one
may write another answer below it, or have a body in chunks without saying so.
"""

from __future__ import annotations

from bulrushstream.protocol.dialect import Dialect
from bulrushstream.state.call import RawHeaders
from bulrushstream.transport.connection import EXIT_S, PendingRequest
from bulrushstream.transport.extraanswers import ExtraAnswerFinder
from bulrushstream.transport.framing import head_fault
from bulrushstream.transport.hiddenchunks import (
    MIN_CHUNKS,
    HiddenChunkFinder,
)


class UnframedBody:
    """The body of such an answer, as it arrives."""

    __slots__ = (
        "_dialect",
        "_doubtful",
        "_finder",
        "_hidden",
        "_pending",
        "closed_s",
        "followed_by",
    )

    def __init__(
        self,
        dialect: Dialect,
        pending: PendingRequest,
        *,
        is_stream: bool = False,
        doubtful: bool = False,
    ) -> None:
        """Begin a body.

        :param dialect: decodes the heads of answers
        :param pending: the request
        :param is_stream: whether it is an event stream
        :param doubtful: whether the service's answers usually tell a framing
        """
        self._doubtful = doubtful
        few = is_stream or doubtful
        self._hidden = HiddenChunkFinder(1 if few else MIN_CHUNKS)
        self._dialect = dialect
        self._pending = pending
        self._finder = ExtraAnswerFinder(self._is_extra)
        # The id of the request that another answer within the body names;
        # empty: its head is faulty.
        self.followed_by: str | None = None
        # When its connection ended; None: it has not.
        self.closed_s: float | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that are known to be of the body.

        :param data: the next bytes that arrived
        """
        return self._finder.feed(self._hidden.feed(data))

    def watch_bytes(self, now_s: float) -> None:
        """Find out when the endpoint wrote, as bytes were just read.

        :param now_s: the time
        """
        connection = self._pending.connection
        if connection is not None:
            connection.watch_bytes(now_s)

    @property
    def wrote_s(self) -> float:
        """Return a time at which the endpoint wrote to the connection."""
        connection = self._pending.connection
        return connection.wrote_s - EXIT_S if connection else float("-inf")

    @property
    def flooded(self) -> bool:
        """Return whether too much of the body looks like other answers."""
        return self._finder.flooded

    @property
    def in_chunks(self) -> bool:
        """Return whether the body is in chunks."""
        return self._hidden.found

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that may be of chunks."""
        return self._hidden.held_bytes

    def close(self, now_s: float) -> bytes | None:
        """Return the rest of the body as its connection has ended.

        :param now_s: the time
        :returns: the rest; None: it ended amid the head of another answer, or
            amid chunks
        """
        self.closed_s = now_s
        body = self._hidden.finish(doubtful=self._doubtful)
        if self._hidden.found:
            return None
        body = self._finder.feed(body)
        rest = self._finder.finish()
        return None if rest is None else body + rest

    def _is_extra(self, status: int, headers: RawHeaders) -> bool:
        """Return whether a head within the body begins another answer.

        A body may show the heads of other answers; those to this request and
        to earlier ones on its connection are the endpoint's.
        """
        request_id = self._dialect.decode_answer(status, headers).request_id
        if not self._pending.has_answered(request_id):
            return False
        self.followed_by = "" if head_fault(status, headers) else request_id
        return True
