"""What shows which process answers under an endpoint's id.

The endpoint list names the version of a *listed* process.  A connection *led*
to its process from some time on.  That process is *shown* to be the listed one
by a list that was read long enough after that, or by an older connection; the
version that began a stream is *proven* in the same way.  Where each process
has an id of its own, the id shows it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bulrushstream.coordination.endpointpool import LIST_LAG_S, Endpoint
from bulrushstream.daemon.lifeproof import Proof

if TYPE_CHECKING:
    from bulrushstream.coordination.streamorigins import OwnStream
    from bulrushstream.daemon.attempt import Attempt
    from bulrushstream.daemon.forward import Forward
    from bulrushstream.daemon.front import Front

# Bytes that arrive this long after a connection broke, on an older one, show
# that the process lives on.
SETTLE_S: Final = 0.15

# Stands in the log for the age of a list that was never read.
MAX_LOGGED_AGE_S: Final = 1e6


def is_origin_listed(front: Front, own: OwnStream) -> bool:
    """Return whether the process that began a stream is the listed one.

    :param front: the router
    :param own: the stream
    """
    endpoint = own.endpoint
    if not front.pool.reuses_ids(endpoint.entry.service):
        return True
    listed_until_s = front.pool.listed_until_s(endpoint)
    if own.led_s <= listed_until_s:
        return True
    if endpoint.removed:
        return False
    return front.connections.pool_for(endpoint).is_still_led(listed_until_s)


def is_origin_shown(forward: Forward) -> bool:
    """Return whether it is known at which version a stream began.

    :param forward: the request
    """
    own, front = forward.own_streams, forward.front
    if own:
        return front.streams.origins.proven_version(
            own[0]
        ) != "" or _list_shows_one_version(forward, own[0].led_s)
    if forward.take_up is None or not forward.take_up.of_only_version:
        return True
    # It may have begun at a process that was not listed as it was taken up.
    return not front.pool.reuses_ids(
        forward.service
    ) or _list_shows_one_version(forward, forward.arrived_s)


def is_process_shown(attempt: Attempt) -> bool:
    """Return whether the process that answers is known to be the listed one.

    :param attempt: the attempt, whose answer has begun
    """
    front, endpoint = attempt.front, attempt.endpoint
    if not front.pool.reuses_ids(endpoint.entry.service):
        # Another process would have said that it is not the expected one.
        return True
    if attempt.led_s <= front.pool.listed_until_s(endpoint):
        return True
    return _list_shows_one_version(attempt.forward, attempt.led_s)


def prove_origin(forward: Forward) -> None:
    """Find out whether the process that began a stream is the listed one.

    Once it has ended it does not tell.

    :param forward: the request
    """
    front, streams = forward.front, forward.own_streams
    if not streams or is_origin_shown(forward):
        return
    endpoint = streams[0].endpoint

    def checked(proof: Proof) -> None:
        if proof is Proof.NONE:
            return
        for own in streams:
            own.proven = True
            if front.streams.history.had_several(endpoint.entry.service):
                front.streams.origins.tell(own, front.clock())

    front.life_proofs.wait(
        endpoint,
        front.connections.pool_for(endpoint),
        front.pool.listed_until_s(endpoint),
        front.clock() + LIST_LAG_S,
        checked,
        endpoint.entry.born,
    )


def is_contradicted(attempt: Attempt) -> bool:
    """Return whether nothing can show any more which process answers.

    :param attempt: the attempt, whose answer has begun
    """
    front, forward = attempt.front, attempt.forward
    if front.streams.history.may_show_one_version(forward.route):
        return False
    processes = [(attempt.endpoint, attempt.led_s)]
    if not is_origin_shown(forward):
        if not forward.own_streams:
            return True
        own = forward.own_streams[0]
        processes.append((own.endpoint, own.led_s))
    return any(
        endpoint.removed and led_s > front.pool.listed_until_s(endpoint)
        for endpoint, led_s in processes
    )


def list_needed_s(attempt: Attempt) -> float:
    """Return from when on a read of the list shows more of an answer.

    :param attempt: the attempt, whose answer has begun
    :returns: the event loop's time, in seconds
    """
    forward, led_s = attempt.forward, attempt.led_s
    if not is_origin_shown(forward):
        own = forward.own_streams
        led_s = min(led_s, own[0].led_s if own else forward.arrived_s)
    return led_s + LIST_LAG_S


def list_confirmed_s(front: Front) -> float:
    """Return when the last current read of the endpoint list was sent.

    :param front: the router
    :returns: the event loop's time, in seconds
    """
    age_s = front.streams.history.list_age_s()
    return float("-inf") if age_s is None else front.clock() - age_s


def list_age_s(front: Front) -> float:
    """Return the age of what is known of the endpoint list, for the log.

    :param front: the router
    """
    age_s = front.streams.history.list_age_s()
    return MAX_LOGGED_AGE_S if age_s is None else round(age_s, 3)


def connection_broke(front: Front, endpoint: Endpoint) -> None:
    """Record that another process may have an endpoint's id from now on.

    :param front: the router
    :param endpoint: the endpoint
    """
    if is_verified(front, endpoint):
        endpoint.unverified_s = front.clock()


def process_replaced(
    front: Front, before: Endpoint, after: Endpoint, ended_s: float
) -> None:
    """Handle an endpoint that the list names as another process.

    The list lags: what began lately may be of either, and the connections
    that ended lately may have been those of the next one already.

    :param front: the router
    :param before: the endpoint as it was listed
    :param after: the endpoint as it is listed now
    :param ended_s: when a connection to it last ended
    """
    before.replaced_s = front.clock()
    listed_s = front.clock() - LIST_LAG_S
    before.unverified_s = min(before.unverified_s, listed_s)
    if ended_s > listed_s:
        after.unverified_s = ended_s


def _list_shows_one_version(forward: Forward, led_s: float) -> bool:
    """Return whether the list shows one version, whatever process answered.

    :param forward: the request
    :param led_s: since when the connection led to the process
    """
    front = forward.front
    suspended_s = front.boot_clock() - front.clock()
    return front.streams.history.shows_one_version_at(
        forward.route, led_s + LIST_LAG_S + suspended_s
    )


def is_verified(front: Front, endpoint: Endpoint) -> bool:
    """Return whether an endpoint's process is the one that is listed."""
    if front.pool.is_replaced(endpoint):
        return False
    pool = front.connections.pool_for(endpoint)
    ended_s = pool.last_ended_s
    if ended_s > endpoint.verified_s:
        endpoint.unverified_s = min(endpoint.unverified_s, ended_s)
    since_s = endpoint.unverified_s
    if since_s == float("inf"):
        return True
    last_s = max(since_s, ended_s)
    heard = pool.is_heard(since_s, last_s + SETTLE_S)
    if not heard and list_confirmed_s(front) < last_s + LIST_LAG_S:
        return False
    endpoint.unverified_s = float("inf")
    endpoint.verified_s = last_s
    return True
