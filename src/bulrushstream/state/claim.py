"""Claims on idempotency keys, replayed from the log.

Before a router runs a non-idempotent request that has a caller's key, it
appends a *claim* on the key.  All routers read the same stream and the claim
with the lowest offset wins, so at most one of them runs the request.  When
the run ends, the winner appends its *result*, from which every router can
answer a repeated request.  A result with the outcome not-run releases the
key.

A claim expires after a fixed *window*.  All readers must agree on whether a
claim has expired, so the window is measured on the stream's clock (see
`bulrushstream.state.streamclock`).
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec

from bulrushstream.state.decoding import DECODE_ERRORS
from bulrushstream.state.request import Headers, Outcome, Request
from bulrushstream.state.streamclock import StreamClock

KEY_SIZE_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A router's claim on a key."""

    key: str  # See `claim_key`.
    claim_id: str  # The same for all copies of a claim appended twice.
    instance: str  # The claiming router.
    incarnation: int  # The router's incarnation.
    request_digest: str  # See `request_digest`.


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """The result of the request whose claim won."""

    key: str
    claim_id: str  # The claim that won.
    outcome: Outcome  # NOT_RUN releases the key.
    kept: bool = False  # Whether the record contains the answer.
    status: int = 0  # The answer's HTTP status.
    headers: Headers = ()  # The answer's headers.
    body: bytes = b""  # The answer's body.


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """The records of one append; results are applied before claims."""

    at_ms: int  # The appender's estimate of the stream's time.
    results: tuple[ResultRecord, ...] = ()
    claims: tuple[ClaimRecord, ...] = ()


@dataclass(slots=True)
class ClaimEntry:
    """The claim that holds a key."""

    record: ClaimRecord
    at_ms: int  # When it was made, on the stream's clock.
    result: ResultRecord | None = None  # None until the request ended.


class ClaimTable:
    """The claimed keys, according to the stream's records."""

    window_ms: int  # How long a claim is valid.
    max_result_bytes: int  # Limit on the memory of stored answers.
    clock: StreamClock
    next_offset: int  # The first offset that was not applied.

    def __init__(
        self, window_s: float, max_result_bytes: int = 16 << 20
    ) -> None:
        self.window_ms = int(window_s * 1000)
        self.max_result_bytes = max_result_bytes
        self.clock = StreamClock()
        self.next_offset = 0
        self._entries: OrderedDict[str, ClaimEntry] = OrderedDict()
        self._stored_bytes = 0
        self._stored_sizes: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> ClaimEntry | None:
        """Return the claim on a key at the time of the last record."""
        entry = self._entries.get(key)
        if entry is None or self._expired(entry):
            return None
        return entry

    def get_at(self, key: str, now_s: float) -> ClaimEntry | None:
        """Return the claim on a key at this reader's estimate of the time.

        :param key: the key
        :param now_s: the time on the reader's own clock
        :returns: the claim; None if there is none or it has expired
        """
        entry = self.get(key)
        if entry is None:
            return None
        age_ms = self.clock.now_ms(now_s) - entry.at_ms
        return None if age_ms >= self.window_ms else entry

    def apply_batch(
        self, offset: int, batch: ClaimBatch, now_s: float
    ) -> list[ClaimRecord]:
        """Apply one record of the stream.

        :param offset: the record's offset
        :param batch: the record's content
        :param now_s: when it was read, on the reader's own clock
        :returns: the claims of the record that won
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        self.clock.observe(batch.at_ms, now_s)
        for result in batch.results:
            self._record_result(result)
        won = [claim for claim in batch.claims if self._try_claim(claim)]
        self._evict_expired()
        return won

    def apply_result(self, result: ResultRecord) -> None:
        """Apply a result that the log does not hold yet.

        A result that releases the key is ignored: a release takes effect
        only at its position in the log.

        :param result: the result, from the router that ran the request
        """
        if result.outcome is not Outcome.NOT_RUN:
            self._record_result(result)

    def _try_claim(self, claim: ClaimRecord) -> bool:
        entry = self.get(claim.key)
        if entry is not None:
            return False
        self._remove(claim.key)
        self._entries[claim.key] = ClaimEntry(claim, self.clock.time_ms)
        return True

    def _record_result(self, result: ResultRecord) -> None:
        entry = self._entries.get(result.key)
        if entry is None or entry.record.claim_id != result.claim_id:
            return
        if result.outcome is Outcome.NOT_RUN:
            self._remove(result.key)
            return
        if entry.result is not None:
            return
        entry.result = result
        if result.kept:
            self._store_answer(result)

    def _store_answer(self, result: ResultRecord) -> None:
        """Store an answer and drop the oldest ones beyond the byte limit."""
        self._stored_sizes[result.key] = len(result.body)
        self._stored_bytes += len(result.body)
        while self._stored_bytes > self.max_result_bytes:
            key, size_bytes = self._stored_sizes.popitem(last=False)
            self._stored_bytes -= size_bytes
            entry = self._entries[key]
            if entry.result is not None:
                entry.result = ResultRecord(
                    key, entry.result.claim_id, entry.result.outcome
                )

    def _expired(self, entry: ClaimEntry) -> bool:
        return self.clock.time_ms - entry.at_ms >= self.window_ms

    def _evict_expired(self) -> None:
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if not self._expired(entry):
                return
            self._remove(key)

    def _remove(self, key: str) -> None:
        self._entries.pop(key, None)
        self._stored_bytes -= self._stored_sizes.pop(key, 0)


def claim_key(request: Request) -> str:
    """Return the digest of workspace, service and the caller's key."""
    digest = hashlib.blake2b(digest_size=KEY_SIZE_BYTES)
    for text in (request.workspace, request.service, request.idempotency_key):
        _update_framed(digest, text.encode())
    return digest.hexdigest()


def request_digest(request: Request) -> str:
    """Return a digest of method, path and body.

    It shows whether two requests with the same key are the same request.
    """
    digest = hashlib.blake2b(digest_size=KEY_SIZE_BYTES)
    for data in (
        request.method.encode(),
        request.path.encode(),
        request.body,
    ):
        _update_framed(digest, data)
    return digest.hexdigest()


def encode_batch(batch: ClaimBatch) -> bytes:
    """Encode a batch as the body of a log record."""
    return msgspec.json.encode(batch)


def decode_batch(body: bytes) -> ClaimBatch | None:
    """Decode the batch in a log record; return None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=ClaimBatch)
    except DECODE_ERRORS:
        return None


def _update_framed(digest: hashlib.blake2b, data: bytes) -> None:
    """Hash a field with its length, so that field boundaries matter."""
    digest.update(len(data).to_bytes(8, "big"))
    digest.update(data)
