"""Settings that the platform gives to a router process on a node."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or to connect to."""

    host: str  # An IP address.
    port: int  # A TCP or UDP port.


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The node settings of one router process."""

    instance: str  # The router's name, unique in the fleet.
    host: str  # The router's IP address.
    availability_zone: str
    caller_address: Address  # Callers connect here.
    readiness_address: Address  # The load balancer checks readiness here.
    store_address: Address  # The platform's key-value store.
    peers_port: int  # The port for updates between routers.
    control_port: int  # The port for metrics and configurations.
    seed_hosts: tuple[str, ...]  # IP addresses of routers; may be stale.
    memory_mb: float  # Memory limit of the process.
    max_descriptors: int  # Limit on open file descriptors.
    grace_s: float  # Time from SIGTERM to SIGKILL.
    # A revoked key must not be accepted for longer than this; None: no limit.
    revocation_limit_s: float | None
    retry_ratio: float  # Retries per request, for the whole fleet.
    retry_slack: float  # Retries allowed in addition to the ratio.
    retry_window_s: float  # The window in which retries are counted.
    quota_window_s: float  # The window of a workspace's quota.
    # Whether the whole system starts for the first time.
    first_start: bool = True
    # The calls that the store accepts from all routers, and the partitions
    # of its topics.
    store_writes_per_s: float = 400.0
    store_reads_per_s: float = 2_000.0
    store_partitions: int = 1
    store_call_bytes: int = 2 * 2**20  # The largest append.
    heartbeat_s: float = 1.2  # How often endpoints renew their list entries.
    # In any second a cold endpoint gets at most the rate of its service times
    # the first figure, and the second one, from all routers.
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0  # Requests.
