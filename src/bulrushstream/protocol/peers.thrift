// The updates that routers send each other about the requests they place.
// The fields are documented at the dataclasses in
// bulrushstream.state.peerupdate, some of which have other names there; see
// bulrushstream.protocol.peercodec.

struct Placed {
  1: i64 call
  2: string endpoint
  3: list<i64> parts
  4: list<i32> lengths
  5: i32 input_tokens
  6: i32 output_tokens
  7: optional string born
}

struct Started {
  1: i64 call
  2: i32 read_tokens_per_s
  3: optional i32 took_ms
  4: optional i32 work_percent
}

struct Totals {
  1: string workspace
  2: i64 asked_tokens
  3: i64 granted_tokens
  4: i64 counted_ms
}

struct Struck {
  1: i64 fingerprint
  2: string endpoint
  3: i32 age_ms
  4: bool uncertain
}

struct StruckPart {
  1: i64 part
  2: i32 in_flight_ms
}

struct PartStrikes {
  1: string endpoint
  2: i32 age_ms
  3: list<StruckPart> parts
  4: bool uncertain
}

struct PartProof {
  1: i64 part
  2: i32 age_ms
}

struct Limit {
  1: string endpoint
  2: double per_s  // Negative: none.
  3: i32 age_ms
  4: optional string born
}

struct Origin {
  1: i64 stream
  2: string pool
  3: string version
  4: i32 age_ms
}

struct Evacuated {
  1: string zone
  2: i64 offset
}

struct Cold {
  1: string endpoint
  2: i32 left_ms
}

struct LatelyMixed {
  1: string pool
  2: i32 age_ms
}

struct Promise {
  1: i64 digest
  2: string pool
  3: i32 age_ms
  4: i32 due_ms
  5: i32 prefill_tokens
  6: i32 deadline_ms
}

struct Update {
  1: string instance
  2: i64 incarnation
  3: string host
  4: list<Placed> placed
  5: list<Started> started
  6: list<i64> ended
  // 7 was used by earlier versions.
  8: list<string> known_hosts
  9: bool leaving
  10: list<Struck> struck
  11: list<Totals> totals
  12: list<i64> cleared
  13: list<PartStrikes> part_strikes
  14: list<PartProof> part_proofs
  15: list<Limit> limits
  16: optional list<Origin> origins
  17: optional list<i64> asked_origins
  18: optional list<string> mixed_services
  19: optional list<string> leaving_endpoints
  20: optional string zone
  21: optional bool pass_on
  22: optional list<string> leaving_starts
  23: optional i32 list_age_ms
  24: optional list<LatelyMixed> lately_mixed
  40: optional list<Evacuated> evacuated
  41: optional i64 evacuations_end
  42: optional i32 evacuations_age_ms
  45: optional list<Cold> cold
  50: optional list<Promise> promises
  51: optional list<i64> returned
}
