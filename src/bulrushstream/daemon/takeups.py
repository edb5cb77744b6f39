"""Streams that go on: taken up by callers, or at the router's next attempt.

A stream goes on only at the software version of endpoints that began it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from bulrushstream import messages
from bulrushstream.coordination.endpointpool import Endpoint
from bulrushstream.coordination.streamorigins import (
    ASK_AGAIN_S,
    ASK_TIMEOUT_S,
    KnownOrigin,
    stream_digest,
)
from bulrushstream.coordination.versionhistory import STORE
from bulrushstream.daemon import processproofs
from bulrushstream.daemon.safeguards import Refusal
from bulrushstream.state.routes import RequestKind

if TYPE_CHECKING:
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front

# How long a take-up waits for the store if no router knows its stream.
STORE_TIMEOUT_S: Final = 0.3


class TakeUp:
    """A caller's request to go on with a stream, until its origin is known."""

    __slots__ = (
        "_asked_s",
        "_asking",
        "_timer",
        "forward",
        "front",
        "of_only_version",
        "stream",
    )

    def __init__(self, forward: Forward) -> None:
        """Create a take-up that has not started.

        :param forward: the request
        """
        self.forward = forward
        self.front = forward.front
        call = forward.call
        named = call.first_request_id not in ("", call.request_id)
        # The stream's digest; None: the caller does not name it.
        self.stream = (
            stream_digest(forward.workspace, call.first_request_id)
            if named
            else None
        )
        self._asked_s = 0.0  # When the list or the origin was asked for.
        self._asking = False  # Whether other routers are asked.
        # Whether it goes on as only one version is known.
        self.of_only_version = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Make the first attempt once it is known where the stream began."""
        front, stream = self.front, self.stream
        known = None
        if stream is not None:
            known = front.streams.origins.find(stream, front.clock())
        if known is not None:
            self._go_on(known)
        elif self._shows_one_version():
            self._start_at_one_version()
        else:
            self._asked_s = front.clock()
            if front.streams.history.may_show_one_version(self.forward.route):
                front.streams.request_list()
                self._wait()
            else:
                self._ask()

    def cancel(self) -> None:
        """Stop waiting for an answer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._asking and self.stream is not None:
            self._asking = False
            self.front.streams.origins.stop_asking(self.stream, self._answered)

    def _shows_one_version(self) -> bool:
        """Return whether the endpoint list shows where the stream began."""
        return self.front.streams.history.shows_one_version_at(
            self.forward.route, self.forward.arrived_boot_s
        )

    def _ask(self) -> None:
        """Ask the other routers and the store for the origin."""
        streams = self.front.streams
        if self.stream is None:
            self._refuse("the caller does not name the first request")
            return
        self._asking = True
        self._asked_s = self.front.clock()
        streams.origins.ask(self.stream, self._answered)
        streams.request_stored()
        self._wait()

    def _start_at_one_version(self) -> None:
        """Make the first attempt at an endpoint of the only version."""
        self._log("one_version", "one version of the service serves")
        forward = self.forward
        history = self.front.streams.history
        forward.version = history.only_version(forward.service) or None
        self.of_only_version = True
        forward.start_attempt()

    def _wait(self) -> None:
        """Wait until the question is repeated."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ASK_AGAIN_S, self._unanswered)

    def _unanswered(self) -> None:
        """Look at the list again, ask again, or refuse the request."""
        self._timer = None
        streams, route = self.front.streams, self.forward.route
        now_s = self.front.clock()
        counts_from_s = self.front.wakefulness.counts_from_s
        asked_for_s = now_s - counts_from_s(self._asked_s, now_s)
        if self._shows_one_version():
            self.cancel()
            self._start_at_one_version()
            return
        if not self._asking:
            if not streams.history.may_show_one_version(route):
                self._ask()
            elif (
                asked_for_s >= ASK_TIMEOUT_S
                and streams.history.peers_show_one_version(
                    route, self.forward.arrived_boot_s
                )
            ):
                self._start_at_one_version()
            elif asked_for_s < STORE_TIMEOUT_S:
                self._wait()
            else:
                self._ask()
            return
        assert self.stream is not None
        read_since = streams.stored_read_s >= self._asked_s
        stored = streams.origins.find_stored(self.stream, now_s)
        # What is stored is not believed before the router that began it does.
        unproven = streams.origins.is_unproven(self.stream, now_s)
        if stored is not None and read_since and not unproven:
            self._answered(stored)
        elif asked_for_s < ASK_TIMEOUT_S:
            streams.origins.ask_again(self.stream)
            self._wait()
        elif (
            read_since
            and not unproven
            and not streams.history.may_show_one_version(route)
        ):
            self.cancel()
            self._refuse("neither a router nor the store knows the stream")
        elif asked_for_s < STORE_TIMEOUT_S:
            self._wait()
        else:
            self.cancel()
            self._refuse("no router knows the stream", final=False)

    def _answered(self, known: KnownOrigin) -> None:
        """Go on with a stream of which a router told the origin."""
        self.cancel()
        if not self.forward.done:
            self._go_on(known)

    def _go_on(self, known: KnownOrigin) -> None:
        """Make the first attempt at the version that began the stream."""
        forward, origin = self.forward, known.origin
        way = {"": "own", STORE: "store"}.get(known.reporter, "peer")
        self._log(way, "the origin of the stream is known", known)
        services = {share.service for share in forward.route.split}
        if origin.service not in services:
            # The route has moved to other services since.
            forward.refuse(Refusal(messages.VERSION_GONE, final=True))
            return
        forward.service = origin.service
        forward.version = origin.version
        forward.start_attempt()

    def _refuse(self, reason: str, *, final: bool = True) -> None:
        """Refuse a request whose stream may have begun at any version.

        It is not final if the store may still tell.
        """
        self._log("unknown", reason)
        self.forward.refuse(Refusal(messages.ORIGIN_UNKNOWN, final=final))

    def _log(
        self, result: str, reason: str, known: KnownOrigin | None = None
    ) -> None:
        """Log and count what is known of the origin."""
        front, forward = self.front, self.forward
        inputs: dict[str, float | int | str] = {
            "first_request": forward.call.first_request_id,
            "after_event": forward.splitter.last_id or 0,
            "list_age_s": processproofs.list_age_s(front),
        }
        if known is not None:
            inputs["service"] = known.origin.service
            inputs["version"] = known.origin.version
            inputs["reporter"] = known.reporter
            inputs["age_s"] = round(known.age_s(front.clock()), 3)
        front.metrics.take_ups.labels(forward.service, result).inc()
        front.log_decision(
            "take_up", reason, forward, outcome=result, inputs=inputs
        )


def make_take_up(forward: Forward) -> TakeUp | None:
    """Return the take-up that a request is; None: it begins a stream.

    :param forward: the request
    """
    streams = forward.route.kind is RequestKind.STREAMING
    return TakeUp(forward) if streams and forward.call.takes_up else None


def attempt_chosen(forward: Forward, endpoint: Endpoint) -> None:
    """Record where a stream will begin, while versions are mixed.

    :param forward: the request
    :param endpoint: the endpoint of its next attempt
    """
    front = forward.front
    if forward.route.kind is not RequestKind.STREAMING:
        return
    if front.streams.history.had_several(forward.service):
        processproofs.is_verified(front, endpoint)
        front.streams.request_sent(_digests(forward), endpoint, front.clock())


def stream_began(forward: Forward, now_s: float) -> bool:
    """Record the first event of a stream that a caller gets here.

    :param forward: the request
    :param now_s: the time
    :returns: whether the caller may have it; if not, the caller could take
        the stream up at another version
    """
    attempt = forward.attempt
    if attempt is None or forward.route.kind is not RequestKind.STREAMING:
        return True
    streams = forward.front.streams
    processproofs.is_verified(forward.front, attempt.endpoint)
    forward.own_streams = streams.stream_began(
        forward.route,
        _digests(forward),
        attempt.endpoint,
        now_s,
        attempt.led_s,
    )
    forward.version = attempt.endpoint.entry.version
    if streams.history.had_several(forward.service):
        processproofs.prove_origin(forward)
    return not streams.is_disputed(forward.own_streams)


def _digests(forward: Forward) -> tuple[int, ...]:
    """Return the digests by which a stream may be taken up."""
    own = stream_digest(forward.workspace, forward.call.request_id)
    take_up = forward.take_up
    if take_up is not None and take_up.stream is not None:
        return own, take_up.stream
    return (own,)


def is_restricted(forward: Forward) -> bool:
    """Return whether a request can go to some endpoints of its service only.

    :param forward: the request
    """
    if forward.version is None or forward.take_up is None:
        return False
    return forward.front.streams.history.had_several(forward.service)


def usable(forward: Forward, exclude: Iterable[str] = ()) -> list[Endpoint]:
    """Return the endpoints that accept a request, at its stream's version.

    :param forward: the request
    :param exclude: ids of endpoints that were tried before
    """
    front, now_s, version = forward.front, forward.front.clock(), None
    if forward.version is not None:
        version = _required_version(forward)
        if version == "":
            return []
    found = front.pool.usable(forward.service, now_s, exclude, version)
    if version is None:
        return found
    # The process of any other one is found out as it answers.
    return [
        each for each in found if processproofs.is_verified(front, each)
    ] or found


def can_go_on(forward: Forward) -> bool:
    """Return whether an endpoint could take a stream that has begun.

    :param forward: the request
    """
    return forward.version is None or bool(usable(forward))


def version_gone(forward: Forward) -> Refusal:
    """Return the refusal of a stream whose version no endpoint serves.

    :param forward: the request
    """
    pool, now_s = forward.front.pool, forward.front.clock()
    listed = pool.usable(forward.service, now_s, (), forward.version)
    # Those that are listed may turn out to be the same processes still.
    return Refusal(messages.VERSION_GONE, final=not listed)


def sweep(front: Front) -> None:
    """Tell other routers what they miss, and forget what is old.

    :param front: the router
    """
    running = {
        own.stream for each in front.forwards for own in each.own_streams
    }
    front.streams.sweep(running, front.clock())


def _required_version(forward: Forward) -> str | None:
    """Return the version of a stream; None: it has not begun.

    It is empty if that can not be known any more.
    """
    if not forward.own_streams:
        return forward.version
    front, own = forward.front, forward.own_streams[0]
    may_be_shown = not own.endpoint.removed or processproofs.is_origin_shown(
        forward
    )
    one_version = front.streams.history.may_show_one_version(forward.route)
    return own.version if may_be_shown or one_version else ""
