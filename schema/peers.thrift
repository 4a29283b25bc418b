// Messages between entry VMs, and rows that entry VMs write to the store.
namespace py nutmeglead._generated.peers

// One incarnation of a server. A restart keeps the id and changes the start time `born_ms`.
struct Life {
  1: required string server_id,
  2: required i64 born_ms,
}

// The key ranges of a service: all of them in a whole map, some of them in a part of a map. Range i begins at
// first_keys[i]. It ends before the next range in a whole map, and at last_keys[i], included, in a part of a map.
// `owners` holds indexes into `servers`, or -1 for a range without an owner. `pending` holds the indexes of the ranges
// whose owner has not confirmed its grant; `previous` names the servers that may still hold them. `witness_sets` names
// the nodes that may renew grants: the last set under this map, the earlier sets perhaps still under older maps. `era` is
// the era of the store in which the map was written, or is missing for era 0.
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
  13: optional i32 hold_ms,
  14: optional i64 era,
}

// The row that names the acting controller of a service.
struct RoleRow {
  1: required string node_id,
  2: required i64 incarnation,
  3: required i64 epoch,
}

// The row in which an entry VM gives its address and its capacity to the others.
struct NodeRow {
  1: required string ip,
  2: required i32 peer_port,
  3: required i64 incarnation,
  4: required string failure_domain,
  5: required double cpu_cores,
}

// How long ago a grant of the sender can have arrived last at a server that may still hold a range that another server
// waits for. Negative while a grant is in flight: it may still arrive for that long.
struct SentOrder {
  1: required Life server,
  2: required i32 ago_ms,
}

// What a node knows of a service. `step` counts the changes of `pending` under one version of the map. `is_confirmed`
// is false until the node has read the map in the store after its start, because a restart loses what it knew before.
// The last orders to servers that `sent` does not name were sent `quiet_ms` ago or earlier. The node began its newest
// answered read of the map in the store `store_read_ago_ms` ago.
struct ServiceView {
  1: required string service_name,
  2: required i64 map_version,
  3: required i32 step,
  4: required i64 role_epoch,
  5: required string acting_node_id,
  6: required bool is_confirmed,
  7: required i32 quiet_ms,
  8: required list<SentOrder> sent,
  9: optional i32 store_read_ago_ms,
}

// Which nodes a heartbeat reports on: its sender alone, the nodes that a hub serves, or all nodes.
enum Scope {
  NODE = 1,
  GROUP = 2,
  ALL = 3,
}

// `sent_ms` is the time of the sender's boot-time clock; `echo_ms` is the last `sent_ms` that the sender received from
// the receiver. `table_versions` is the version of the newest change that the sender has of each table. `in_flight`
// holds, for each server with work in flight, a 2-byte tag of its id and a 2-byte count, summed over the nodes of the
// scope. `nodes` holds the states of the nodes of the scope, 6 bytes each. With `wants_all`, a node asks one hub for
// heartbeats that report on all nodes. `unconfirmed_versions` holds, for each table of which the sender has rows that were
// read soon after the store had refused the reader's calls, the version of the newest such rows: entries that are missing there
// may have lapsed. `store_era` is the era of the store to which all these versions belong, or is missing for era 0; tables of
// which the sender has rows of an earlier era only are left out.
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
  13: optional map<string, i64> unconfirmed_versions,
  14: optional i64 store_era,
}

// Load of a service at a node since its last report. `keys` holds the keys of the requests, 2 bytes each. `samples`
// holds, for each server that has answered, its tag, the number of its answers and their mean service time in ms, 2
// bytes each. `leaving` holds the servers that have stated in answers to the node that they are leaving; it is repeated in
// each report, since datagrams are lost.
struct LoadReport {
  1: required string node_id,
  2: required string service_name,
  3: required binary keys,
  4: required binary samples,
  5: optional list<Life> leaving,
}

// Results of the orders of a node that renews grants, since its last report: the tags, 2 bytes each, of servers that
// answered, of servers that did not answer, and of servers that refused the connection or the order. `stale` holds the
// first keys of the ranges whose owners have seen a higher fence.
struct OrderReport {
  1: required string node_id,
  2: required string service_name,
  3: required binary answered,
  4: required binary failed,
  5: required binary refused,
  6: required list<i32> stale,
}

// The ranges of a map that differ from the earlier state of the map with the version `from_version` and the step
// `from_step`.
struct MapDelta {
  1: required string node_id,
  2: required i64 from_version,
  3: required i32 from_step,
  4: required i32 step,
  5: required RangeMap changes,
}

// A whole map, for a node that does not have the earlier state that a `MapDelta` is based on.
struct MapCopy {
  1: required string node_id,
  2: required i32 step,
  3: required RangeMap ranges,
}

// The change of a row's value from one version to another: the new value, compressed with the old one as the dictionary.
struct RowPatch {
  1: required i64 from_version,
  2: required i64 to_version,
  3: required binary data,
}

// One row of a `TableCopy`. A removed row has no value. `age_ms` is the longest time since the row can have changed in the
// store. With `patches`, which are sent only to nodes that accept compressed messages, the value is missing and results from
// the receiver's own value of the row, to which the patches are applied in order.
struct CopiedRow {
  1: required string key,
  2: required i64 version,
  3: optional binary value,
  4: optional i32 age_ms,
  5: optional list<RowPatch> patches,
}

// Rows of a table of the store, for a node that does not follow the store itself. If `is_whole` is false, the copy holds
// only the rows with versions after the one that the node asked for. `after_outage` means that some rows were read from
// the store soon after it had not answered, so that entries may have lapsed. `era` is the era of the store to which all versions
// belong, or is missing for era 0.
struct TableCopy {
  1: required i64 store_version,
  2: required i64 changed_version,
  3: required list<CopiedRow> rows,
  4: required bool is_whole,
  5: required bool after_outage,
  6: optional i64 era,
}

union Datagram {
  1: Heartbeat heartbeat,
  2: LoadReport load_report,
  3: MapDelta map_delta,
  4: OrderReport order_report,
}

// The ticket that a node follows, and what is missing there until the ticket is in force.
struct TicketStatus {
  1: required string node_id,
  2: required i64 ticket_number,
  3: required list<string> missing,
}
