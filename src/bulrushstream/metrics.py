"""The Prometheus metrics of one instance.

Each instance has a separate registry, because several instances can share
a process, as in the demo and in tests.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from bulrushstream.state.effect import Decision
from bulrushstream.state.excess import Excess
from bulrushstream.state.returns import ReturnReport
from bulrushstream.state.usage import ColdUse, Crowd, ShareReport

if TYPE_CHECKING:
    from bulrushstream.transport.callers import Exchange

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
WAIT_BUCKETS_S: Final = (
    0.001,
    0.005,
    0.02,
    0.1,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)


@dataclass(frozen=True, slots=True)
class Metrics:
    """The metrics of one instance."""

    registry: CollectorRegistry
    requests: Counter  # Callers' requests, by outcome.
    waits: Histogram  # Time in a router's queue, in seconds.
    durations: Histogram  # From a request to its answer's end, in seconds.
    decisions: Counter  # Decisions of the cores.
    queued: Gauge  # Number of waiting requests.
    queued_bytes: Gauge  # Memory used by waiting requests.
    slots: Gauge  # The endpoint's slots, by state.
    control_bytes: Counter  # Bytes sent between instances.
    control_messages: Counter  # Messages sent between instances.
    config_version: Gauge  # The version that the instance applies.
    degraded: Gauge  # 1 for each use of the platform that fails now.
    platform_failures: Counter  # Failed calls to the platform.
    quota_tokens: Counter  # Quota tokens of requests for models.
    share_level: Gauge  # The fair-share level, in quota tokens.
    share_throughput: Gauge  # Granted in the window, per second.
    peers: Gauge  # The other routers that count as live.
    take_ups: Counter  # Streams that callers take up.
    oldest_peer_age: Gauge  # Time since the oldest update, in seconds.
    loop_lag: Gauge  # How late the event loop was, in seconds.
    caller_connections: Counter  # Callers' connections that were ended.
    excess: Counter  # Connections whose peers sent too much.
    spoiled_streams: Counter  # Streams whose endpoints spoiled them.
    evacuated_zones: Gauge  # Zones whose endpoints get no requests.
    evacuation_withdrawn: Counter  # Requests that were to be sent there.
    evacuation_requests: Gauge  # Requests of this router that run there.
    work_factor: Gauge  # How long work takes at uneven endpoints.
    cold_endpoints: Gauge  # Cold endpoints, and those that are ramped up.
    cold_share: Gauge  # The share of the routers that are heard.
    cold_requests: Counter  # Requests kept from cold endpoints.
    prompt_mix: Gauge  # Engines that prefer a class of prompts.
    model_refusals: Counter  # Refused requests for models.
    returns: Counter  # Callers that return after a refusal.
    promises: Gauge  # Promises to refused callers.


def make_metrics() -> Metrics:
    """Make the metrics of an instance.

    :returns: The metrics with a new registry.
    """
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)

    def counter(name: str, text: str, *labels: str) -> Counter:
        return Counter(
            f"bulrushstream_{name}", text, labels, registry=registry
        )

    def gauge(name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"bulrushstream_{name}", text, labels, registry=registry)

    def histogram(name: str, text: str, *labels: str) -> Histogram:
        return Histogram(
            f"bulrushstream_{name}",
            text,
            labels,
            registry=registry,
            buckets=WAIT_BUCKETS_S,
        )

    return Metrics(
        registry=registry,
        requests=counter(
            "requests",
            "Callers' requests by what they were given.",
            "workspace",
            "service",
            "outcome",
            "code",
        ),
        waits=histogram(
            "wait_seconds",
            "Time that a request waited for a slot.",
            "service",
            "request_class",
        ),
        durations=histogram(
            "answer_seconds",
            "Time from a request to the end of its answer.",
            "service",
            "request_class",
        ),
        # The reason is not a label: it may contain numbers, and each value
        # would be a separate series until the process ends.
        decisions=counter("decisions", "Decisions of the core.", "kind"),
        queued=gauge(
            "queued_requests", "Requests that wait.", "service", "workspace"
        ),
        queued_bytes=gauge(
            "queued_bytes", "Memory of the requests that wait."
        ),
        slots=gauge("slots", "Slots of the endpoint.", "state"),
        control_bytes=counter(
            "control_bytes",
            "Bytes between instances by kind of message.",
            "direction",
            "kind",
        ),
        control_messages=counter(
            "control_messages",
            "Messages between instances by kind.",
            "direction",
            "kind",
        ),
        config_version=gauge(
            "config_version", "Version of the configuration in force."
        ),
        degraded=gauge(
            "platform_degraded",
            "Whether a use of the platform fails now.",
            "use",
        ),
        platform_failures=counter(
            "platform_failures", "Calls of the platform that failed.", "use"
        ),
        quota_tokens=counter(
            "quota_tokens",
            "Quota tokens requested, granted, and granted but not run.",
            "workspace",
            "state",
        ),
        share_level=gauge(
            "share_level_tokens",
            "Fair-share level of a workspace in the sliding window.",
        ),
        share_throughput=gauge(
            "share_throughput_tokens_per_second",
            "Throughput that the fleet granted in the sliding window.",
        ),
        take_ups=counter(
            "take_ups",
            "Streams that callers take up, by what is known of their origin.",
            "service",
            "origin",
        ),
        peers=gauge("peers", "Other routers that count as live."),
        oldest_peer_age=gauge(
            "oldest_peer_age_seconds",
            "Time since the last update of the peer silent for longest.",
        ),
        loop_lag=gauge(
            "loop_lag_seconds",
            "How late the event loop was at most in the last second.",
        ),
        caller_connections=counter(
            "caller_connections_ended",
            "Callers' connections that were ended for want of room.",
            "state",
        ),
        excess=counter(
            "excess",
            "Connections ended as the peer sent more than is accepted.",
            "peer",
            "reason",
        ),
        spoiled_streams=counter(
            "spoiled_streams",
            "Event streams given up as their endpoints spoiled them.",
            "service",
            "reason",
        ),
        evacuated_zones=gauge(
            "evacuated_zones", "Zones whose endpoints get no requests."
        ),
        evacuation_withdrawn=counter(
            "evacuation_withdrawn",
            "Requests withdrawn before they were sent to evacuated zones.",
            "zone",
        ),
        evacuation_requests=gauge(
            "evacuation_requests",
            "Requests of this router that still run in evacuated zones.",
            "zone",
        ),
        work_factor=gauge(
            "endpoint_work_factor",
            "How long work takes at an endpoint that differs from others.",
            "endpoint",
        ),
        cold_endpoints=gauge(
            "cold_endpoints", "Endpoints by their state.", "state"
        ),
        cold_share=gauge(
            "cold_share", "Share of the limits of cold endpoints in use here."
        ),
        cold_requests=counter(
            "cold_requests",
            "Requests that cold endpoints could not take.",
            "result",
        ),
        prompt_mix=gauge(
            "prompt_mix_engines",
            "Engines that prefer long or short prompts.",
            "service",
            "prefers",
        ),
        model_refusals=counter(
            "model_refusals",
            "Requests for models that admission refused.",
            "reason",
        ),
        returns=counter(
            "returns",
            "Refused callers: times to return, and what became of them.",
            "event",
        ),
        promises=gauge(
            "return_promises", "Refused callers that are expected to return."
        ),
    )


def encode_metrics(metrics: Metrics) -> bytes:
    """Encode the metrics in Prometheus' text format."""
    return generate_latest(metrics.registry)


def count_exchange(metrics: Metrics, exchange: Exchange) -> None:
    """Count a caller's request by its outcome.

    :param metrics: The metrics of a router.
    :param exchange: The request and its answer.
    """
    request = exchange.request
    sent = exchange.sent
    workspace = request.workspace if request else ""
    service = request.service if request else ""
    metrics.requests.labels(
        workspace, service, sent.outcome.value, sent.code
    ).inc()
    if request is not None:
        metrics.durations.labels(service, request.request_class.value).observe(
            exchange.duration_s
        )


def count_decision(metrics: Metrics, decision: Decision) -> None:
    """Count a decision; observe the wait of a first dispatch.

    :param metrics: The metrics of an instance.
    :param decision: The decision.
    """
    metrics.decisions.labels(decision.kind).inc()
    if decision.kind == "dispatch" and decision.attempt <= 1:
        metrics.waits.labels(decision.service, decision.request_class).observe(
            decision.waited_s
        )
    if decision.kind == "prompt_mix":
        for prefers in ("long", "short"):
            metrics.prompt_mix.labels(decision.service, prefers).set(
                float(decision.inputs[f"{prefers}_engines"])
            )


def count_excess(metrics: Metrics, excess: Excess) -> None:
    """Count a peer that sent more than is accepted.

    :param metrics: The metrics of an instance.
    :param excess: What it sent.
    """
    metrics.excess.labels(excess.peer.value, excess.reason.value).inc()


def count_spoiled(metrics: Metrics, service: str, reason: str) -> None:
    """Count an event stream that its endpoint spoiled.

    :param metrics: The metrics of a router.
    :param service: The endpoint's service.
    :param reason: How it is spoiled.
    """
    metrics.spoiled_streams.labels(service, reason).inc()


def set_evacuated(metrics: Metrics, in_flight: Mapping[str, int]) -> None:
    """Set the gauges of evacuated zones.

    :param metrics: The metrics of a router.
    :param in_flight: The requests that still run in each evacuated zone.
    """
    metrics.evacuated_zones.set(len(in_flight))
    metrics.evacuation_requests.clear()
    for zone, count in in_flight.items():
        metrics.evacuation_requests.labels(zone).set(count)


def count_shares(metrics: Metrics, report: ShareReport) -> None:
    """Count the shares of the workspaces at a router.

    :param metrics: The metrics of the router.
    :param report: The shares and their use since the last report.
    """
    for name, usage in report.usage.items():
        for state, tokens in (
            ("requested", usage.requested_tokens),
            ("granted", usage.granted_tokens),
            ("not_run", usage.not_run_tokens),
        ):
            metrics.quota_tokens.labels(name, state).inc(tokens)
    metrics.share_level.set(report.level_tokens)
    metrics.share_throughput.set(report.throughput_tokens_per_s)
    metrics.peers.set(report.peers)
    metrics.oldest_peer_age.set(report.oldest_peer_age_s)


def set_work_factors(metrics: Metrics, factors: Mapping[str, float]) -> None:
    """Set the factors of uneven endpoints; others are removed.

    :param metrics: The metrics of a router.
    :param factors: How long work takes at each, over the usual.
    """
    metrics.work_factor.clear()
    for endpoint, factor in factors.items():
        metrics.work_factor.labels(endpoint).set(factor)


def count_returns(metrics: Metrics, report: ReturnReport) -> None:
    """Count refusals and returns at a router.

    :param metrics: The metrics of the router.
    :param report: What happened since the last report.
    """
    for name, count in report.refusals.items():
        metrics.model_refusals.labels(name).inc(count)
    for name, count in report.returns.items():
        metrics.returns.labels(name).inc(count)
    metrics.promises.set(report.open_promises)


def count_crowd(metrics: Metrics, crowd: Crowd) -> None:
    """Count what a router did as too many callers use it.

    :param metrics: The metrics of the router.
    :param crowd: What it did since the last report.
    """
    metrics.loop_lag.set(crowd.loop_lag_s)
    for state, count in (
        ("idle", crowd.closed_connections),
        ("new", crowd.refused_connections),
    ):
        if count:
            metrics.caller_connections.labels(state).inc(count)


def count_cold(metrics: Metrics, use: ColdUse) -> None:
    """Count the cold endpoints and the requests kept from them.

    :param metrics: The metrics of the router.
    :param use: What it decided since the last report.
    """
    metrics.cold_endpoints.labels("cold").set(use.cold)
    metrics.cold_endpoints.labels("ramped_up").set(use.ramped_up)
    metrics.cold_share.set(use.share)
    for result, count in (
        ("diverted", use.diverted),
        ("refused", use.refused),
        ("withdrawn", use.withdrawn),
    ):
        if count:
            metrics.cold_requests.labels(result).inc(count)


def count_message(
    metrics: Metrics,
    direction: str,
    kind: str,
    size_bytes: int,
    messages: int = 1,
) -> None:
    """Count messages between instances.

    :param metrics: The metrics of an instance.
    :param direction: `in` or `out`.
    :param kind: The kind of message.
    :param size_bytes: Their total size on the wire.
    :param messages: The number of messages.
    """
    metrics.control_bytes.labels(direction, kind).inc(size_bytes)
    metrics.control_messages.labels(direction, kind).inc(messages)


def set_queued(
    metrics: Metrics, queued: Mapping[tuple[str, str], int], size_bytes: int
) -> None:
    """Set the queue gauges; series that are not given are removed.

    :param metrics: The metrics of a router.
    :param queued: Waiting requests by service and workspace.
    :param size_bytes: The memory that they use.
    """
    metrics.queued.clear()
    for (service, workspace), count in queued.items():
        metrics.queued.labels(service, workspace).set(count)
    metrics.queued_bytes.set(size_bytes)
