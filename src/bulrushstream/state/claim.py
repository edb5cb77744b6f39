"""Claims on idempotency keys, folded from the log.

A router that is to run a non-idempotent request with a caller's key first
appends a *claim* on the key.  Every router reads the same stream, and the
first claim by offset wins on all of them, so at most one of them runs the
request.  When the run ends, the winner appends its *result*, from which
every router can answer a repeated request.  A result that says not-run
releases the key.

A claim holds for a *window*.  Whether a claim has expired must be judged
alike by every reader, so the window is measured on the stream's own clock
(see `bulrushstream.state.streamclock`).
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec

from bulrushstream.state.request import Headers, Outcome, Request
from bulrushstream.state.streamclock import StreamClock

KEY_SIZE_BYTES: Final = 16


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """A router's claim on a key."""

    key: str  # Digest of the workspace and the caller's key.
    claim_id: str  # Names the claim, also when it is appended twice.
    instance: str  # The router that claims it.
    incarnation: int  # The router's incarnation.
    request_digest: str  # Digest of what the caller asks.


@dataclass(frozen=True, slots=True)
class ResultRecord:
    """What became of the request whose claim won."""

    key: str  # Which key.
    claim_id: str  # The claim that won.
    outcome: Outcome  # Not-run releases the key.
    kept: bool = False  # Whether the answer is in the record.
    status: int = 0  # The answer's HTTP status.
    headers: Headers = ()  # The answer's headers.
    body: bytes = b""  # The answer's body.


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """The records of one append, results before claims."""

    at_ms: int  # The stream's time, as the appender estimates it.
    results: tuple[ResultRecord, ...] = ()
    claims: tuple[ClaimRecord, ...] = ()


@dataclass(slots=True)
class ClaimEntry:
    """The claim that holds a key."""

    record: ClaimRecord  # The claim.
    at_ms: int  # When it was made, on the stream's clock.
    result: ResultRecord | None = None  # What became of it.


class ClaimTable:
    """The keys that are held, as the stream's records say."""

    window_ms: int  # How long a claim holds.
    max_result_bytes: int  # Memory that kept answers may take.
    clock: StreamClock  # The stream's time.
    next_offset: int  # The first offset that was not folded.

    def __init__(
        self, window_s: float, max_result_bytes: int = 16 << 20
    ) -> None:
        self.window_ms = int(window_s * 1000)
        self.max_result_bytes = max_result_bytes
        self.clock = StreamClock()
        self.next_offset = 0
        self._entries: OrderedDict[str, ClaimEntry] = OrderedDict()
        self._result_bytes = 0
        self._kept: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> ClaimEntry | None:
        """Return who holds a key, as of the last record."""
        entry = self._entries.get(key)
        if entry is None or self._expired(entry):
            return None
        return entry

    def holds(self, key: str, now_s: float) -> ClaimEntry | None:
        """Return who holds a key now, on this reader's estimate."""
        entry = self.get(key)
        if entry is None:
            return None
        age_ms = self.clock.now_ms(now_s) - entry.at_ms
        return None if age_ms >= self.window_ms else entry

    def fold(
        self, offset: int, batch: ClaimBatch, now_s: float
    ) -> list[ClaimRecord]:
        """Take one record of the stream.

        :param offset: its place in the stream
        :param batch: what it holds
        :param now_s: when it was read, on the reader's clock
        :returns: the claims that won by it
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        self.clock.read(batch.at_ms, now_s)
        for result in batch.results:
            self._settle(result)
        won = [claim for claim in batch.claims if self._claim(claim)]
        self._purge()
        return won

    def settle(self, result: ResultRecord) -> None:
        """Take a result before it is in the log, from whoever ran it.

        A release is not taken: it counts only by its place in the log.

        :param result: what became of the request
        """
        if result.outcome is not Outcome.NOT_RUN:
            self._settle(result)

    def _claim(self, claim: ClaimRecord) -> bool:
        entry = self.get(claim.key)
        if entry is not None:
            return False
        self._drop(claim.key)
        self._entries[claim.key] = ClaimEntry(claim, self.clock.time_ms)
        return True

    def _settle(self, result: ResultRecord) -> None:
        entry = self._entries.get(result.key)
        if entry is None or entry.record.claim_id != result.claim_id:
            return
        if result.outcome is Outcome.NOT_RUN:
            self._drop(result.key)
            return
        if entry.result is not None:
            return
        entry.result = result
        if result.kept:
            self._keep(result)

    def _keep(self, result: ResultRecord) -> None:
        """Keep an answer, and drop the oldest ones that take too much."""
        self._kept[result.key] = len(result.body)
        self._result_bytes += len(result.body)
        while self._result_bytes > self.max_result_bytes:
            key, size_bytes = self._kept.popitem(last=False)
            self._result_bytes -= size_bytes
            entry = self._entries[key]
            if entry.result is not None:
                entry.result = ResultRecord(
                    key, entry.result.claim_id, entry.result.outcome
                )

    def _expired(self, entry: ClaimEntry) -> bool:
        return self.clock.time_ms - entry.at_ms >= self.window_ms

    def _purge(self) -> None:
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if not self._expired(entry):
                return
            self._drop(key)

    def _drop(self, key: str) -> None:
        self._entries.pop(key, None)
        self._result_bytes -= self._kept.pop(key, 0)


def key_of(request: Request) -> str:
    """Return the digest under which a request's key is claimed."""
    digest = hashlib.blake2b(digest_size=KEY_SIZE_BYTES)
    for text in (request.workspace, request.service, request.idempotency_key):
        _add(digest, text.encode())
    return digest.hexdigest()


def request_digest(request: Request) -> str:
    """Return a digest of what a request asks, to tell two apart."""
    digest = hashlib.blake2b(digest_size=KEY_SIZE_BYTES)
    for data in (
        request.method.encode(),
        request.path.encode(),
        request.body,
    ):
        _add(digest, data)
    return digest.hexdigest()


def encode_batch(batch: ClaimBatch) -> bytes:
    """Return a batch as the body of a log record."""
    return msgspec.json.encode(batch)


def decode_batch(body: bytes) -> ClaimBatch | None:
    """Return the batch in a log record; None if it holds none."""
    try:
        return msgspec.json.decode(body, type=ClaimBatch)
    except msgspec.DecodeError:
        return None


def _add(digest: hashlib.blake2b, data: bytes) -> None:
    """Add a field with its length, so that fields can not run together."""
    digest.update(len(data).to_bytes(8, "big"))
    digest.update(data)
