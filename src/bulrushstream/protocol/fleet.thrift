// The messages between the instances of the fleet, one per frame.
// The fields are documented at the dataclasses in bulrushstream.state.message;
// `service` is a reserved word of Thrift, so the field is service_name here.

struct Hello {
  1: string instance
  2: i64 incarnation
  3: string role
  4: string region
  5: string availability_zone
  6: optional string service_name
  7: optional string endpoint
  8: binary nonce
}

struct Proof {
  1: binary mac
}

struct Heartbeat {
}

struct Goodbye {
  1: i64 incarnation
}

struct BacklogEntry {
  1: string service_name
  2: string workspace
  3: i32 interactive
  4: i32 batch
  5: i32 oldest_age_ms
}

struct Backlog {
  1: i64 sequence
  2: bool full
  3: list<BacklogEntry> entries
}

struct Idle {
  1: i64 sequence
  2: i32 free_slots
}

struct Pull {
  1: i64 pull_id
  2: string service_name
  3: string workspace
  4: optional bool ahead
}

struct NoWork {
  1: i64 pull_id
}

struct Header {
  1: string name
  2: string value
}

struct Dispatch {
  1: string request_id
  2: i32 attempt
  3: i64 pull_id
  4: i64 incarnation
  5: string workspace
  6: string service_name
  7: string request_class
  8: bool idempotent
  9: bool alone
  10: string method
  11: string path
  12: list<Header> headers
  13: binary body
  14: bool stream
  15: i64 timeout_ms
  16: double cost_hint
  17: optional string model
  18: optional i64 fingerprint
}

struct Refuse {
  1: string request_id
  2: i32 attempt
  3: i32 reason
}

struct Part {
  1: string request_id
  2: i32 attempt
  3: i32 sequence
  4: i32 kind
  5: optional i32 status
  6: optional list<Header> headers
  7: optional binary data
  8: optional string outcome
  9: optional bool whole
  10: optional bool crashed
  11: optional string detail
  12: optional i32 crash
}

struct Ack {
  1: string request_id
  2: i32 attempt
  3: i32 next_sequence
}

struct Resume {
  1: string request_id
  2: i32 attempt
  3: i32 next_sequence
}

struct Revoke {
  1: string request_id
  2: i32 attempt
}

struct Gone {
  1: string request_id
  2: i32 attempt
  3: string outcome
}

struct Cancel {
  1: string request_id
  2: i32 attempt
}

struct ServedEntry {
  1: string agent
  2: i64 incarnation
  3: string workspace
  4: double total
  5: double in_flight
  6: optional i64 sequence
  7: optional bool folded
}

struct Served {
  1: string service_name
  2: i64 sequence
  3: list<ServedEntry> entries
  4: optional list<string> heard
}

struct DigestEntry {
  1: string workspace
  2: double total
  3: double in_flight
  4: double floor
}

struct Digest {
  1: string service_name
  2: i64 sequence
  3: list<DigestEntry> entries
}

struct Floor {
  1: string service_name
  2: string workspace
  3: double floor
}

struct ConfigPush {
  1: i64 version
  2: string digest
  3: binary body
}

struct ConfigFetch {
  1: i64 version
}

struct Strike {
  1: i64 fingerprint
  2: string strike_id
  3: bool alone
  4: i64 age_ms
}

struct Strikes {
  1: list<Strike> strikes
  2: optional list<i64> pardons
}

struct Cached {
  1: bool reset
  2: list<i64> added
  3: list<i64> dropped
}

struct TrialAsk {
  1: i64 fingerprint
  2: i64 number
  3: list<Strike> strikes
}

struct TrialGrant {
  1: i64 fingerprint
  2: i64 number
  3: list<Strike> strikes
}

// Exactly one field is set.
struct Frame {
  1: optional Hello hello
  2: optional Proof proof
  3: optional Heartbeat heartbeat
  4: optional Goodbye goodbye
  5: optional Backlog backlog
  6: optional Idle idle
  7: optional Pull pull
  8: optional NoWork no_work
  9: optional Dispatch dispatch
  10: optional Refuse refuse
  11: optional Part part
  12: optional Ack ack
  13: optional Resume resume
  14: optional Revoke revoke
  15: optional Gone gone
  16: optional Cancel cancel
  17: optional Served served
  18: optional Digest digest
  19: optional Floor floor
  20: optional ConfigPush config_push
  21: optional ConfigFetch config_fetch
  22: optional Strikes strikes
  23: optional Cached cached
  24: optional TrialAsk trial_ask
  25: optional TrialGrant trial_grant
}
