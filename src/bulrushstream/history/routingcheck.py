"""Check the histories of front-end routers."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass
from typing import Final, TypeAlias

from bulrushstream.history.routingendpoint import (
    EVENTS,
    SIGNED,
    event_of,
    long_part_of,
)
from bulrushstream.history.routingfleet import RoutingFleet
from bulrushstream.history.routingplan import (
    REST_S,
    ROUTES,
    RoutingPlan,
    random_routing_plan,
)
from bulrushstream.history.routingplatform import (
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_S,
    REVOKE_S,
    TIMEOUT_S,
)
from bulrushstream.history.routingrecord import (
    Reply,
    RoutingHistory,
    Run,
)
from bulrushstream.history.violation import (
    RoutingViolationKind,
    Violation,
    ViolationKind,
)
from bulrushstream.history.virtualloop import run_virtually
from bulrushstream.state.routes import RequestKind

# An answer may be this late after its route's timeout; the platform
# allows 0.5 s.
ANSWER_GRACE_S: Final = 0.1

# An endpoint that asked for rest may get so many requests of the router, but
# for those that arrive within this time of its answer.
MAX_IN_REST: Final = 2
REST_GRACE_S: Final = 0.5

# An endpoint that said that it leaves gets requests for so long.
DRAIN_S: Final = 2.0

_Finding: TypeAlias = tuple[ViolationKind | RoutingViolationKind, str]

# Statuses that guarantee that the request has not run and will not.
NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class RoutingRun:
    """The result of running a plan."""

    plan: RoutingPlan
    history: RoutingHistory
    violations: tuple[Violation, ...]  # Sorted.


def run_routing_plan(plan: RoutingPlan) -> RoutingRun:
    """Run a plan in virtual time and check its history.

    :param plan: the plan to run
    """
    fleet = RoutingFleet(plan)
    history = fleet.history
    history.exceptions.extend(run_virtually(fleet.run()))
    violations = [
        *_check_state(history),
        *_check_requests(history),
        *_check_retries(history),
        *_check_versions(history),
        *_check_rests(history),
        *_check_notices(history),
    ]
    return RoutingRun(plan, history, tuple(sorted(violations)))


def run_routing_seed(seed: int) -> RoutingRun:
    """Run the plan of a seed and check its history.

    :param seed: any number
    """
    return run_routing_plan(random_routing_plan(seed))


def _check_state(history: RoutingHistory) -> list[Violation]:
    """Report exceptions, work for absent callers and leaked state."""
    found = []
    for kind, texts in (
        (ViolationKind.CORE_FAILED, history.exceptions),
        (ViolationKind.LATE_WORK, history.orphaned_runs),
        (ViolationKind.LATE_WORK, history.sent_to_draining),
        (RoutingViolationKind.LEFTOVER, history.leaks),
    ):
        found += [Violation(0.0, 0, kind, "router", text) for text in texts]
    return found


def _check_requests(history: RoutingHistory) -> list[Violation]:
    """Report violations of single requests."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    found = []
    for number, (request_id, reply) in enumerate(history.replies.items()):
        own_runs = runs.get(request_id, [])
        request = reply.request
        revoked_s = history.revoked_boot_s.get(request.key)
        since_revoked_s = 0.0
        if revoked_s is not None:
            since_revoked_s = reply.sent_boot_s - revoked_s[request.router]
        for kind, text in (
            *_check_runs(reply, own_runs, since_revoked_s),
            *_check_answer(request_id, reply, own_runs),
        ):
            found.append(
                Violation(reply.ended_s, number, kind, request_id, text)
            )
    return found


def _check_runs(
    reply: Reply, runs: list[Run], since_revoked_s: float
) -> list[_Finding]:
    """Report violations by the runs of a request."""
    found: list[_Finding] = []
    route, _, resumable, max_attempts = ROUTES[reply.request.route]
    executed = [run for run in runs if run.executed]
    repeatable = resumable or route is RequestKind.IDEMPOTENT
    if not repeatable and len(executed) > 1:
        found.append(
            (
                ViolationKind.RUN_TWICE,
                f"{len(executed)} runs of a non-repeatable request",
            )
        )
    if len(runs) > max_attempts:
        found.append(
            (
                RoutingViolationKind.OVER_BUDGET,
                f"{len(runs)} attempts, at most {max_attempts} allowed",
            )
        )
    if executed and since_revoked_s > REVOKE_S:
        text = (
            f"request sent {since_revoked_s:.2f} s after its key was revoked"
        )
        found.append((RoutingViolationKind.REVOKED_KEY, text))
    for run in runs:
        over_s = run.at_s + run.timeout_s - (reply.sent_s + TIMEOUT_S)
        if over_s > ANSWER_GRACE_S:
            found.append(
                (
                    ViolationKind.LATE_WORK,
                    f"timeout exceeds the deadline by {over_s:.2f} s",
                )
            )
        if reply.disconnected and run.at_s > reply.sent_s + (
            reply.request.disconnects_after_s or 0.0
        ):
            found.append(
                (
                    ViolationKind.LATE_WORK,
                    "run started after its caller disconnected",
                )
            )
    return found


def _check_answer(
    request_id: str, reply: Reply, runs: list[Run]
) -> list[_Finding]:
    """Report violations by the answer to a request."""
    if reply.disconnected:
        return []
    kind = ViolationKind
    end_count = reply.end_count + reply.aborted
    if end_count != 1:
        return [(kind.NO_ANSWER, f"{end_count} ends of the answer, not 1")]
    found: list[_Finding] = []
    took_s = reply.ended_s - reply.sent_s
    if took_s > TIMEOUT_S + ANSWER_GRACE_S:
        found.append((kind.NO_ANSWER, f"answer ended after {took_s:.2f} s"))
    executed = any(run.executed for run in runs)
    if (
        reply.status in NOT_EXECUTED_STATUSES
        and executed
        and not reply.aborted
        and not _is_endpoints_own_error(reply)
    ):
        found.append(
            (
                kind.FALSE_NOT_RUN,
                f"status {reply.status} although a run executed",
            )
        )
    if reply.status == 200:
        found += _check_body(request_id, reply)
    return found


def _is_endpoints_own_error(reply: Reply) -> bool:
    """Return whether a caller who may repeat gets an endpoint's status."""
    kind, _, resumable, _ = ROUTES[reply.request.route]
    head, _, _ = reply.data.partition(b"\r\n\r\n")
    signed = b"%b: %b" % SIGNED in head.split(b"\r\n")
    return signed and (kind is RequestKind.IDEMPOTENT or resumable)


def _check_body(request_id: str, reply: Reply) -> list[_Finding]:
    """Report a body of status 200 that is not the expected one.

    A body that was broken off must be a part of it, and be seen as such.
    """
    head, _, body = reply.data.partition(b"\r\n\r\n")
    expected = b"answer of " + request_id.encode()
    if ROUTES[reply.request.route][1] == "llm":
        expected = b"".join(
            event_of(request_id, number + 1)
            for number in range(reply.after, EVENTS)
        )
    complete = not reply.aborted
    if b"chunked" in head:
        body, complete = _join_chunks(body)
    if reply.aborted and complete:
        return [(ViolationKind.TRUNCATED_WHOLE, repr(body[-80:]))]
    if complete and body == expected:
        return []
    if reply.aborted and body == long_part_of(request_id):
        return []
    if reply.aborted and expected.startswith(body):
        return []
    return [(ViolationKind.GARBLED_ANSWER, repr(body[-80:]))]


def _join_chunks(body: bytes) -> tuple[bytes, bool]:
    """Decode a chunked body; return whether the last chunk is there, too."""
    body_data = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return body_data, True
        body_data += rest[:length]
        body = rest[length + 2 :]
    return body_data, False


def _check_versions(history: RoutingHistory) -> list[Violation]:
    """Report streams with events of several software versions."""
    kind = RoutingViolationKind.MIXED_VERSIONS
    return [
        Violation(0.0, 0, kind, request_id, f"events of {sorted(versions)}")
        for request_id, versions in history.versions.items()
        if len(versions) > 1
    ]


def _check_rests(history: RoutingHistory) -> list[Violation]:
    """Report endpoints that got requests while they rested."""
    found = []
    for at_s, router, endpoint in history.rests:
        count = sum(
            (run.router, run.endpoint) == (router, endpoint)
            and at_s + REST_GRACE_S < run.at_s < at_s + REST_S
            for run in history.runs
        )
        if count > MAX_IN_REST:
            text = f"{count} requests of router {router} while it rested"
            kind = RoutingViolationKind.REST_BROKEN
            found.append(Violation(at_s, 0, kind, endpoint, text))
    return found


def _check_notices(history: RoutingHistory) -> list[Violation]:
    """Report requests that reached endpoints long after they had left."""
    found = []
    for run in history.runs:
        left_s = history.left_s.get((run.router, run.endpoint))
        if left_s is None or run.at_s <= left_s + DRAIN_S:
            continue
        text = f"a request came {run.at_s - left_s:.2f} s after its notice"
        kind = ViolationKind.LATE_WORK
        found.append(Violation(run.at_s, 0, kind, run.endpoint, text))
    return found


def _check_retries(history: RoutingHistory) -> list[Violation]:
    """Report windows in which a service got too many retries."""
    sent_times: dict[str, list[float]] = defaultdict(list)
    for reply in history.replies.values():
        sent_times[ROUTES[reply.request.route][1]].append(reply.sent_s)
    retry_times: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for run in history.runs:
        if run.request_id in seen:
            retry_times[run.service].append(run.at_s)
        seen.add(run.request_id)
    found = []
    for service, times in retry_times.items():
        sent = sorted(sent_times[service])
        for last in times:
            begin_s = last - RETRY_WINDOW_S
            retries = bisect_right(times, last) - bisect_left(times, begin_s)
            requests = max(
                bisect_right(sent, last - shift_s)
                - bisect_left(sent, begin_s - shift_s)
                for shift_s in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            allowed = RETRY_RATIO * requests + RETRY_SLACK
            if retries > allowed:
                text = f"{retries} retries in a window, {allowed:.0f} allowed"
                found.append(
                    Violation(
                        last,
                        0,
                        RoutingViolationKind.OVER_BUDGET,
                        service,
                        text,
                    )
                )
    return found
