"""Finds out whether endpoints ended during the runs that broke there.

A `CrashWatch` collects the broken and silent runs of one router, looks at
the endpoint's connections and, if these do not tell, asks at its address.
`coordination.crashevidence` gives the verdict.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from bulrushstream.coordination.crashevidence import (
    GIVE_UP_S,
    PASSIVE_S,
    SETTLE_S,
    BrokenRun,
    Judgement,
    Verdict,
    judge_run,
)
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.wakefulness import Wakefulness
from bulrushstream.state.call import RawHeaders
from bulrushstream.state.effect import Decision
from bulrushstream.state.endpointsigns import ConnectionsSeen, Sign
from bulrushstream.transport.probe import ask_identity
from bulrushstream.transport.upstream import Pool

# The pause between two probes of one endpoint, and the limit of each.
PROBE_INTERVAL_S: Final = 0.5
PROBE_TIMEOUT_S: Final = 0.5

# The list names a process that has replaced another one within this time.
LIST_LAG_S: Final = 2.5

# Added to timers, which may fire a little early.
TIMER_MARGIN_S: Final = 0.005

# Runs without a verdict, over all endpoints; further ones are not judged.
MAX_OPEN_RUNS: Final = 4096

# Runs that counted, which are remembered so that each counts once.
MAX_COUNTED_RUNS: Final = 4096

# Encodes a probe of an endpoint; None: its service has none.
EncodeProbe = Callable[[Endpoint], bytes | None]

# Returns the id that the answer to a probe gives, from the endpoint, status
# and headers; None: an instance with another id than the probe expects.
DecodeProbe = Callable[[Endpoint, int, RawHeaders], str | None]


@dataclass(slots=True)
class _Watched:
    """An endpoint at which runs broke.

    It stays for a time after the last verdict, to log what is seen there.
    """

    endpoint: Endpoint
    pool: Pool
    runs: list[BrokenRun] = field(default_factory=list)
    # Runs of which it is not known whether the process ended under them, and
    # why, until the list would name the next process.
    unknown: list[tuple[BrokenRun, str]] = field(default_factory=list)
    replaced: bool = False  # Whether another process has its id.
    # When the last probe was sent that was answered under its id.
    answered_s: float = float("-inf")
    logs_signs: bool = False  # Whether runs broke there that are not passive.
    signs: dict[Sign, float] = field(default_factory=dict)  # Times.
    probe: asyncio.Task[None] | None = None
    probed_s: float = float("-inf")  # The end of the last probe.
    active_s: float = float("-inf")  # When a run was last without a verdict.
    # When a run first broke since its process last proved that it lived.
    broke_s: float = float("-inf")
    ended_s: float = float("-inf")  # When a run last broke as it ended.

    def add(self, run: BrokenRun) -> None:
        """Add a run that broke."""
        self.runs.append(run)
        self.logs_signs = self.logs_signs or not run.passive
        broke = not run.passive and not run.silent
        if broke and self.last_answered_s >= self.broke_s:
            self.broke_s = run.broke_s

    @property
    def last_answered_s(self) -> float:
        """Return when the last request was sent that a process answered."""
        return max(self.answered_s, self.pool.answered_s)

    def may_have_ended_before(self, run: BrokenRun) -> bool:
        """Return whether its process may have ended before a run was sent.

        A proxy may have accepted the run's connection, and closed it; but it
        would not refuse another one then.
        """
        if self.signs.get(Sign.REFUSED, float("-inf")) >= run.broke_s:
            return False
        answered_s = self.last_answered_s
        ends_s = [self.broke_s, self.ended_s]
        # One that was idle for long ends with no process.  An endpoint that
        # ended would have been dropped from the list since.
        if run.sent_s - self.pool.idle_ended_s <= GIVE_UP_S:
            ends_s.append(self.pool.idle_ended_s)
        return any(run.sent_s > each_s > answered_s for each_s in ends_s)


@dataclass(slots=True)
class CrashWatch:
    """The runs of one router that broke, until there is a verdict."""

    clock: Callable[[], float]
    encode_probe: EncodeProbe
    decode_probe: DecodeProbe
    observe: Callable[[Decision], None]
    is_leaving: Callable[[Endpoint], bool]
    # Called with each run during which its endpoint ended.
    on_crash: Callable[[str, BrokenRun], None]
    # Called with each run without a verdict.
    on_unknown: Callable[[str, BrokenRun], None]
    wakefulness: Wakefulness = field(default_factory=Wakefulness)
    # By the identity of the `Endpoint`, of which each process has its own.
    _watched: dict[int, _Watched] = field(default_factory=dict)
    # Endpoint, its start and the request of the runs that counted.
    _counted: dict[tuple[str, str, str], None] = field(default_factory=dict)

    def add(self, endpoint: Endpoint, pool: Pool, run: BrokenRun) -> None:
        """Watch an endpoint because of a run that broke there.

        :param endpoint: the endpoint
        :param pool: the connections to it
        :param run: the run
        """
        if _key(endpoint, run) in self._counted:
            return
        open_runs = sum(len(each.runs) for each in self._watched.values())
        leaving = self.is_leaving(endpoint)
        if leaving or open_runs >= MAX_OPEN_RUNS:
            if run.passive:
                return
            reason = "the endpoint was leaving"
            if not leaving:
                reason = "too many runs have no verdict yet"
            self._log_verdict(endpoint.name, run, False, reason)
            return
        watched = self._watched.get(id(endpoint))
        if watched is None:
            watched = _Watched(endpoint, pool)
            self._watched[id(endpoint)] = watched
            if endpoint.replaced_s > float("-inf"):
                # A run that had gone silent by then ended with the process.
                watched.signs[Sign.OTHER_INSTANCE] = endpoint.replaced_s
                watched.replaced = True
        watched.add(run)
        watched.active_s = self.clock()
        # The verdict should not wait for the next sweep.
        asyncio.get_running_loop().call_later(
            SETTLE_S + TIMER_MARGIN_S, self._judge_all, watched
        )

    def unjudged(self, fingerprint: int) -> int:
        """Return how many broken runs of a request have no verdict yet.

        :param fingerprint: the request's digest
        """
        return sum(
            run.fingerprint == fingerprint and not run.passive
            for watched in self._watched.values()
            for run in watched.runs
        )

    def add_sign(self, endpoint: str, sign: Sign) -> None:
        """Record what was seen at the address of an endpoint.

        :param endpoint: the endpoint's id
        :param sign: what was seen
        """
        for watched in list(self._watched.values()):
            if watched.endpoint.name == endpoint:
                self._add_sign(watched, sign)

    def process_replaced(self, endpoint: str) -> None:
        """Record that the endpoint list names another process under an id.

        Runs that nobody knew of whether the process ended under them count:
        what answered under its id since may have been the next one.

        :param endpoint: the id
        """
        now_s = self.clock()
        for watched in list(self._watched.values()):
            if watched.endpoint.name != endpoint or watched.replaced:
                continue
            watched.replaced = True
            self._log_unknown(watched, now_s)
            watched.runs += [run for run, _ in watched.unknown]
            watched.unknown.clear()
            self._add_sign(watched, Sign.OTHER_INSTANCE)

    def _add_sign(self, watched: _Watched, sign: Sign) -> None:
        """Record what was seen of an endpoint."""
        name = watched.endpoint.name
        if sign not in watched.signs and watched.logs_signs:
            self.observe(Decision("endpoint_seen", sign.value, endpoint=name))
        watched.signs[sign] = self.clock()
        self._judge_all(watched)

    def sweep(self) -> None:
        """Judge the runs; probe the endpoints whose runs stay open."""
        now_s = self.clock()
        for key, watched in list(self._watched.items()):
            self._judge_all(watched)
            self._log_unknown(watched, now_s)
            if watched.runs:
                watched.active_s = now_s
                self._probe_if_due(watched, now_s)
            elif now_s - watched.active_s > GIVE_UP_S:
                del self._watched[key]

    def _judge_all(self, watched: _Watched) -> None:
        """Judge the runs at an endpoint; keep those without a verdict."""
        now_s = self.clock()
        watched.runs = [
            run for run in watched.runs if not self._judge(watched, run, now_s)
        ]

    def _judge(self, watched: _Watched, run: BrokenRun, now_s: float) -> bool:
        """Judge a run; return whether there is a verdict."""
        seen = watched.pool.seen(run.broke_s)
        judgement = judge_run(run, seen, watched.signs, now_s)
        if run.passive and watched.pool.outlived(run.broke_s, run.broke_s):
            judgement = Judgement(Verdict.LIVES, "it answered later")
        if watched.may_have_ended_before(run):
            judgement = Judgement(Verdict.OPEN)
            if now_s - run.broke_s >= SETTLE_S:
                judgement = Judgement(Verdict.LIVES, "it had ended before")
        if run.passive and judgement.verdict is not Verdict.ENDED:
            expired = now_s - run.broke_s > PASSIVE_S
            return expired or judgement.verdict is not Verdict.OPEN
        if judgement.verdict is Verdict.OPEN:
            return False
        name = watched.endpoint.name
        ended = judgement.verdict is Verdict.ENDED
        if judgement.verdict is Verdict.UNKNOWN:
            self.on_unknown(name, run)
            if watched.endpoint.entry.born and not watched.replaced:
                watched.unknown.append((run, judgement.reason))
                return True
        self._log_verdict(name, run, ended, judgement.reason, seen)
        if ended:
            watched.ended_s = max(watched.ended_s, run.broke_s)
            self._counted[_key(watched.endpoint, run)] = None
            if len(self._counted) > MAX_COUNTED_RUNS:
                del self._counted[next(iter(self._counted))]
            self.on_crash(name, run)
        return True

    def _log_unknown(self, watched: _Watched, now_s: float) -> None:
        """Log the runs whose fate the list does not tell any more."""
        kept = []
        for run, reason in watched.unknown:
            if now_s - run.broke_s <= LIST_LAG_S:
                kept.append((run, reason))
            else:
                self._log_verdict(watched.endpoint.name, run, False, reason)
        watched.unknown = kept

    def _log_verdict(
        self,
        endpoint: str,
        run: BrokenRun,
        counted: bool,
        reason: str,
        seen: ConnectionsSeen | None = None,
    ) -> None:
        """Log whether a run counts against its request, and why."""
        inputs: dict[str, float | int | str] = {"fingerprint": run.fingerprint}
        if seen is not None:
            inputs["connections_ended"] = seen.ended
            inputs["connections_open"] = seen.open
        self.observe(
            Decision(
                "counted" if counted else "not_counted",
                reason,
                request_id=run.request_id,
                endpoint=endpoint,
                inputs=inputs,
            )
        )

    def _probe_if_due(self, watched: _Watched, now_s: float) -> None:
        """Probe an endpoint unless that was done a moment ago."""
        broken = [run.broke_s for run in watched.runs if not run.passive]
        if not broken or watched.replaced:
            return
        oldest_s = min(broken)
        due_s = max(oldest_s + SETTLE_S, watched.probed_s + PROBE_INTERVAL_S)
        request = self.encode_probe(watched.endpoint)
        if watched.probe is not None or now_s < due_s or request is None:
            return
        loop = asyncio.get_running_loop()
        watched.probe = loop.create_task(
            self._probe(watched, oldest_s, request)
        )

    async def _probe(
        self, watched: _Watched, broke_s: float, request: bytes
    ) -> None:
        """Ask for an endpoint's id on an old connection, then on a new one.

        An answer on a connection that was open before the break shows that
        the endpoint lives, and one on a new connection what is there now.
        """
        name, pool = watched.endpoint.name, watched.pool
        try:
            old = pool.pop_witness(broke_s)
            if old is not None:
                answer = await ask_identity(
                    pool, request, PROBE_TIMEOUT_S, old, self.wakefulness
                )
                if answer is None:
                    self.add_sign(name, Sign.NO_ANSWER)
                elif isinstance(answer, tuple):
                    self.decode_probe(watched.endpoint, *answer)
            sent_s = self.clock()
            answer = await ask_identity(
                pool, request, PROBE_TIMEOUT_S, None, self.wakefulness
            )
            if isinstance(answer, ConnectionRefusedError):
                self.add_sign(name, Sign.REFUSED)
            elif answer is not None:
                found = self.decode_probe(watched.endpoint, *answer)
                if found == name:
                    watched.answered_s = sent_s
                same = found in ("", name)
                self.add_sign(
                    name,
                    Sign.SAME_INSTANCE if same else Sign.OTHER_INSTANCE,
                )
        finally:
            watched.probe = None
            watched.probed_s = self.clock()


def _key(endpoint: Endpoint, run: BrokenRun) -> tuple[str, str, str]:
    """Return what tells a run at a process from others."""
    return endpoint.name, endpoint.entry.born, run.request_id
