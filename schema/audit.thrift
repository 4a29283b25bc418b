// The audit trail. Each record is a row of the store that is written in the same transaction as the change that it
// describes.
namespace py nutmeglead._generated.audit

enum AuditKind {
  ROLE_TAKEN = 1,
  KEYS_MOVED = 2,
  TICKET_ACCEPTED = 3,
}

enum MoveReason {
  FIRST_PLACEMENT = 1,
  CLAIM = 2,
  SERVER_LEAVING = 3,
  SERVER_LOST = 4,
  BALANCE = 5,
  STALE_FENCE = 6,
  EVACUATION = 7,
}

// The keys from `first` to `last`, both included, got a new owner under the fence of the record.
struct KeyMove {
  1: required i32 first,
  2: required i32 last,
  3: required string to_server_id,
  4: required list<string> from_server_ids,
  5: required MoveReason reason,
}

// `wall_time_ms` is the writer's wall-clock time in ms since the Unix epoch. `manifest_version` is the version of the
// manifest, or the number of the ticket, that was in force at the writer.
struct AuditRecord {
  1: required AuditKind kind,
  2: required string node_id,
  3: required i64 wall_time_ms,
  4: required string service_name,
  5: required i64 manifest_version,
  6: required i64 role_epoch,
  7: required i64 map_version,
  8: required i64 fence,
  9: required list<KeyMove> moves,
  10: optional string note,
}
