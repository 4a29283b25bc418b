// Datagrams between entry VMs, and the rows that they keep in the store.
namespace py nutmeglead._generated.peers

// One life of a server: a restart keeps the id and changes the start time.
struct Life {
  1: required string server_id,
  2: required i64 born_ms,
}

// All key ranges of a service. Range i begins at first_keys[i] and ends before the next one. `owners` indexes
// `servers`, -1 is no owner. `pending` lists the ranges whose owner has not confirmed its grant; `previous` names
// the servers that may still hold them.
struct RangeMap {
  1: required string service_name,
  2: required i64 version,
  3: required i64 epoch,
  4: required i64 fence,
  5: required list<Life> servers,
  6: required list<i32> first_keys,
  7: required list<i16> owners,
  8: required list<i64> fences,
  9: required list<i32> pending,
  10: required map<i32, list<i16>> previous,
}

// The acting controller of a service.
struct RoleRow {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 epoch,
}

struct NodeRow {
  1: required string ip,
  2: required i32 peer_port,
  3: required i64 incarnation,
  4: required string failure_domain,
  5: required double cpu_cores,
}

// What a node knows of a service. `step` counts the changes of `pending` under one version of the map.
// `renewed_ago_ms` is the time since the node last sent a renewal, -1 for never.
struct ServiceView {
  1: required string service_name,
  2: required i64 map_version,
  3: required i32 step,
  4: required i64 role_epoch,
  5: required string acting_node_id,
  6: required i32 renewed_ago_ms,
}

// `sent_ms` is the sender's boot-time clock; `echo_ms` is the last `sent_ms` that the sender had from the receiver.
// `table_versions` is the version of the newest change that the sender has of each table.
// `in_flight` holds, per server with work, a 2-byte tag of its id and a 2-byte count.
struct Heartbeat {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 sent_ms,
  4: required i64 echo_ms,
  5: required bool leaving,
  6: required map<string, i64> table_versions,
  7: required i32 store_age_ms,
  8: required list<ServiceView> views,
  9: required binary in_flight,
}

// Keys of the requests since the last report, 2 bytes each. `samples` holds, per server that has answered, its tag,
// the number of answers and their mean service time in ms, 2 bytes each.
struct LoadReport {
  1: required string node_id,
  2: required string service_name,
  3: required binary keys,
  4: required binary samples,
}

struct MapPush {
  1: required string node_id,
  2: required i32 step,
  3: required RangeMap ranges,
}

// A copy of a table of the store, for a node that the store turns away.
struct CopiedRow {
  1: required string key,
  2: required i64 version,
  3: required binary value,
}

struct TableCopy {
  1: required i64 store_version,
  2: required i64 changed_version,
  3: required list<CopiedRow> rows,
}

union Datagram {
  1: Heartbeat heartbeat,
  2: LoadReport load_report,
  3: MapPush map_push,
}

// Which ticket a node follows, and what keeps it from being in force there.
struct TicketStatus {
  1: required string node_id,
  2: required i64 ticket_number,
  3: required list<string> missing,
}
