// Datagrams between entry VMs, and the rows that they keep in the store.
namespace py nutmeglead._generated.peers

// One life of a server: a restart keeps the id and changes the start time.
struct Life {
  1: required string server_id,
  2: required i64 born_ms,
}

// All key ranges of a service. Range i begins at first_keys[i] and ends before the next one, or at last_keys[i] in a
// part of a map. `owners` indexes `servers`, -1 is no owner. `pending` lists the ranges whose owner has not confirmed its
// grant; `previous` names the servers that may still hold them. `witness_sets` names the nodes that may renew: the last
// set under this map, the earlier ones possibly under older maps.
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
  11: required list<list<string>> witness_sets,
  12: optional list<i32> last_keys,
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

// When the sender last ordered a server that may still hold a range which another one waits for.
struct SentOrder {
  1: required Life server,
  2: required i32 ago_ms,
}

// What a node knows of a service. `step` counts the changes of `pending` under one version of the map. A node that has
// not read the map in the store since its start has forgotten what it knew before; `is_confirmed` is false then. Orders to
// servers that `sent` does not name lie back `quiet_ms` or longer.
struct ServiceView {
  1: required string service_name,
  2: required i64 map_version,
  3: required i32 step,
  4: required i64 role_epoch,
  5: required string acting_node_id,
  6: required bool is_confirmed,
  7: required i32 quiet_ms,
  8: required list<SentOrder> sent,
}

// Whom a heartbeat speaks for: its sender, the nodes that a hub serves, or all nodes.
enum Scope {
  NODE = 1,
  GROUP = 2,
  ALL = 3,
}

// `sent_ms` is the sender's boot-time clock; `echo_ms` is the last `sent_ms` that the sender had from the receiver.
// `table_versions` is the version of the newest change that the sender has of each table. `in_flight` holds, per server with
// work, a 2-byte tag of its id and a 2-byte count, summed over the nodes of the scope. `nodes` holds the states of the nodes
// of the scope, 6 bytes each. A node asks one hub for heartbeats of all with `wants_all`.
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
  10: required Scope scope,
  11: required binary nodes,
  12: required bool wants_all,
}

// Keys of the requests since the last report, 2 bytes each. `samples` holds, per server that has answered, its tag,
// the number of answers and their mean service time in ms, 2 bytes each.
struct LoadReport {
  1: required string node_id,
  2: required string service_name,
  3: required binary keys,
  4: required binary samples,
}

// What a node that renews has heard of its orders since its last report: tags of servers that answered, of servers that
// did not, and of servers that refused the connection or the order, 2 bytes each. `stale` names, by their first keys, the
// ranges whose owners have seen a higher fence.
struct OrderReport {
  1: required string node_id,
  2: required string service_name,
  3: required binary answered,
  4: required binary failed,
  5: required binary refused,
  6: required list<i32> stale,
}

// The ranges of a map that differ from an earlier state, which `from_version` and `from_step` name.
struct MapDelta {
  1: required string node_id,
  2: required i64 from_version,
  3: required i32 from_step,
  4: required i32 step,
  5: required RangeMap changes,
}

// A whole map, for a node that lacks the state that a delta follows.
struct MapCopy {
  1: required string node_id,
  2: required i32 step,
  3: required RangeMap ranges,
}

// Rows of a table of the store, for a node that does not follow the store itself. A removed row has no value. Without
// `is_whole`, only rows with versions after the one that was asked for are in it. `after_outage` tells that some were
// read from the store soon after it had not answered, so that entries may have lapsed.
struct CopiedRow {
  1: required string key,
  2: required i64 version,
  3: optional binary value,
}

struct TableCopy {
  1: required i64 store_version,
  2: required i64 changed_version,
  3: required list<CopiedRow> rows,
  4: required bool is_whole,
  5: required bool after_outage,
}

union Datagram {
  1: Heartbeat heartbeat,
  2: LoadReport load_report,
  3: MapDelta map_delta,
  4: OrderReport order_report,
}

// Which ticket a node follows, and what keeps it from being in force there.
struct TicketStatus {
  1: required string node_id,
  2: required i64 ticket_number,
  3: required list<string> missing,
}
