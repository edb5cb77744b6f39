"""All messages to callers and operators, with their stable codes.

The meaning of a code never changes.  ``B1`` codes are refusals and failures
that are sent to callers, ``B2`` codes are findings in settings, rules or
arguments, and ``B3`` codes are results and failures that are printed for
operators.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class Notice:
    """A message template with its code."""

    code: str
    text: str  # A format string for `str.format`.
    status: int = 0  # The HTTP status; 0: not sent to callers.

    def format(self, **values: object) -> str:
        """Return the text with the values filled in."""
        return self.text.format(**values)


NO_TOKEN: Final = Notice("B101", "The request has no valid bearer token.", 401)
NO_RULE: Final = Notice("B102", "No rule matches the request.", 404)
REFUSED_BY_RULE: Final = Notice("B103", "Rule {rule}: {reason}", 403)
QUEUE_FULL: Final = Notice(
    "B104", "Too many requests of the workspace wait.", 429
)
MEMORY_FULL: Final = Notice(
    "B105", "The router holds as many waiting bytes as it may.", 503
)
EXPIRED: Final = Notice(
    "B106", "The deadline passed before the request was started.", 504
)
TIMED_OUT: Final = Notice(
    "B107", "The deadline passed while the request was running.", 504
)
ENDPOINT_LOST: Final = Notice(
    "B108", "The endpoint was lost while it ran the request.", 502
)
NOT_READY: Final = Notice("B109", "The router has no configuration yet.", 503)
DRAINING: Final = Notice("B110", "The router is stopping.", 503)
BODY_TOO_LARGE: Final = Notice(
    "B111", "The body is larger than {limit_bytes} bytes.", 413
)
BAD_REQUEST: Final = Notice("B112", "The request is malformed: {why}", 400)
QUARANTINED: Final = Notice(
    "B113", "Requests like this one crashed endpoints and are refused.", 422
)
KEY_REUSED: Final = Notice(
    "B114", "The Idempotency-Key was used with another request.", 422
)
KEY_PENDING: Final = Notice(
    "B115", "The first request with this key has not ended yet.", 409
)
LOG_DOWN: Final = Notice(
    "B116", "The key could not be recorded before the deadline.", 503
)
RETRIES_EXHAUSTED: Final = Notice(
    "B117", "Every permitted attempt failed: {why}", 502
)
NO_MODEL: Final = Notice("B118", "No service has the model {model}.", 404)
TOO_MANY_CONNECTIONS: Final = Notice(
    "B119", "The router has as many connections as it may.", 503
)
READ_TIMEOUT: Final = Notice(
    "B120", "The body did not arrive within {timeout_s} s.", 408
)
KEY_ANSWER_LOST: Final = Notice(
    "B121", "The first request with this key ran; its answer is gone.", 409
)
KEY_OUTCOME_UNKNOWN: Final = Notice(
    "B123", "Whether the first request with this key ran is not known.", 409
)
SHED: Final = Notice(
    "B122", "The router shed the request to bound its memory.", 503
)
NO_CAPACITY: Final = Notice(
    "B124", "No endpoint can serve the request in time now.", 503
)
SHARE_EXCEEDED: Final = Notice(
    "B125", "The workspace has used its share, and nothing is idle.", 429
)
STALE_CONFIG: Final = Notice(
    "B126", "The router can not prove that its keys are current.", 503
)
BAD_HEAD: Final = Notice(
    "B127", "The head of the request is not acceptable.", 400
)
CRASHES_ENDPOINTS: Final = Notice(
    "B128", "Requests like this one crashed endpoints; none takes it.", 503
)
PART_HELD: Final = Notice(
    "B129", "A part of the prompt may crash endpoints and is on trial.", 503
)
LIMITS_REACHED: Final = Notice(
    "B130", "Every endpoint has reached the limit that it names.", 503
)
ORIGIN_UNKNOWN: Final = Notice(
    "B131", "Which version of the endpoints began the stream is unknown.", 503
)
VERSION_GONE: Final = Notice(
    "B132", "No endpoint of the version that began the stream serves.", 503
)
ENDPOINTS_REST: Final = Notice(
    "B133", "Every endpoint that could serve the request asks for rest.", 503
)
ROUTER_CROWDED: Final = Notice(
    "B134", "The router is crowded; another one may take the request.", 503
)
ZONES_EVACUATED: Final = Notice(
    "B135", "Every endpoint of the service is in an evacuated zone.", 503
)
ENDPOINTS_COLD: Final = Notice(
    "B136", "Every endpoint that could serve the request is cold.", 503
)
FALSE_REFUSAL: Final = Notice(
    "B137", "The endpoint refused the request and may have run it.", 502
)

UNKNOWN_KEY: Final = Notice("B201", "Unknown key {key!r}.")
MISSING_KEY: Final = Notice("B202", "Missing key {key!r}.")
WRONG_TYPE: Final = Notice("B203", "{why}")
OUT_OF_RANGE: Final = Notice("B204", "{why}")
NOT_JSON: Final = Notice("B205", "Not JSON with comments: {why}")
NOT_TOML: Final = Notice("B218", "Not TOML: {why}")
UNREADABLE: Final = Notice("B206", "The file can not be read: {why}")
DUPLICATE_NAME: Final = Notice("B207", "The name {name!r} stands twice.")
UNKNOWN_NAME: Final = Notice("B208", "No {kind} is named {name!r}.")
ONE_SECRET: Final = Notice(
    "B209", "Give either shared_secret or shared_secret_file."
)
SHORT_SECRET: Final = Notice(
    "B210", "The secret must have at least {chars} characters."
)
PARTIAL_TLS: Final = Notice(
    "B211", "TLS needs a certificate, a key and an authority."
)
NO_ADVERTISED_HOST: Final = Notice(
    "B212", "Peers can not dial 0.0.0.0; give advertised_host."
)
BAD_PATTERN: Final = Notice("B213", "The pattern {pattern!r}: {why}")
BAD_TOKEN_DIGEST: Final = Notice(
    "B214", "A token is given by its SHA-256 in 64 hex digits."
)
BAD_VALUE: Final = Notice("B215", "{why}")
UNREACHABLE_RULE: Final = Notice(
    "B216", "Rule {earlier!r} matches all that this one does."
)
NO_SERVICE: Final = Notice(
    "B217", "The rule names no service and none follows from its condition."
)

RULES_VALID: Final = Notice(
    "B301",
    "The list is valid: {workspaces} workspaces, {services} services, "
    "{rules} rules.",
)
PUBLISHED: Final = Notice("B302", "Version {version} is accepted.")
ALREADY_CURRENT: Final = Notice(
    "B303", "Version {version} is in force and is the same."
)
PUBLISH_CONFLICT: Final = Notice(
    "B304",
    "Not published: version {version} by {author} ({note}) replaced "
    "version {base} first.  The list differs from it in:",
)
NOT_PUBLISHED: Final = Notice(
    "B305", "Not published: the log did not take the record: {why}"
)
PUBLISH_UNRESOLVED: Final = Notice(
    "B306",
    "The list may have been accepted; the log does not answer: {why}  "
    "Run the same command with --publish_id={publish_id} to learn it.",
)
LOG_LOST_VERSIONS: Final = Notice(
    "B307",
    "Not published: the log has dropped every version.  If no instance "
    "has one either, publish with --reset.",
)
LOG_UNREADABLE: Final = Notice("B308", "The log can not be read: {why}")
NO_SUCH_VERSION: Final = Notice(
    "B309", "The log does not lead to the version: {version}."
)
ROUTER_NOT_NOTIFIED: Final = Notice(
    "B310", "Router {router} was not told; it reads the log by itself."
)
INSTANCE_UNREACHABLE: Final = Notice("B311", "{url} does not answer.")
LIFT_REFUSED: Final = Notice("B312", "{url} did not take the pardon.")
