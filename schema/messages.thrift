// Messages between the system's own processes and to grant holders, and the rows of the table service.
include "common.thrift"
namespace py nutmeglead._generated.messages

// ---- rows of the table service ----

struct PreviousHolder {
  1: required string server_id,
  2: required i64 epoch,
}

// Where a server is reached. `gate` is set for servers that do not check grants: requests go to that router.
struct ServerEntry {
  1: required string server_id,
  2: required common.Address address,
  3: required string failure_domain,
  4: optional common.Address gate,
}

// One row of at most 256 units. For a hash page, position p is bucket page_number * 256 + p and `units` is
// absent; for a pin page, `units` names them. `owners` indexes `servers`; -1 is no owner.
struct PlacementPage {
  1: required string service_name,
  2: required bool pins,
  3: required i32 page_number,
  4: required i64 version,
  5: required i64 role_epoch,
  6: required i64 ticket_number,
  7: required list<string> servers,
  8: required list<i32> owners,
  9: required list<i64> epochs,
  10: required map<i32, list<PreviousHolder>> previous,
  11: optional list<common.UnitId> units,
  // Highest epoch of a unit removed from this pin page; a unit that is added gets a higher one.
  12: optional i64 epoch_floor = 0,
  // Set on a service's directory page only, which has no units.
  13: optional list<ServerEntry> directory,
}

struct RoleRow {
  1: required string service_name,
  2: required string node_id,
  3: required string incarnation,
  4: required i64 epoch,
}

// `incarnations` is parallel to `node_ids`: a renewer that restarted has forgotten its stop statements and must
// refuse an assignment to its earlier incarnation. `role_epoch` is the one that wrote this lease epoch.
struct RenewerSet {
  1: required i64 lease_epoch,
  2: required list<string> node_ids,
  3: optional list<string> incarnations,
  4: optional i64 role_epoch = 0,
}

// `former` holds renewer sets that the server may still be using because it has not confirmed `current`.
struct ServerRow {
  1: required string service_name,
  2: required string server_id,
  3: required string incarnation,
  4: required RenewerSet current,
  5: required list<RenewerSet> former,
  6: optional string gate_node_id,
}

// ---- messages to a grant holder ----

struct RenewLease {
  1: required common.Sender sender,
  2: required string holder_incarnation,
  3: required i64 lease_epoch,
  4: required list<string> renewer_node_ids,
  // In the holder's own monotonic time, in ms. 0 asks for the holder's time only.
  5: required i64 lease_end_ms,
  // Role epoch that wrote the lease epoch; the holder refuses grants of a lower one.
  6: optional i64 role_epoch = 0,
  // `<service>/<server>`; a gate holds the leases of several servers.
  7: optional string holder_name,
}

enum RenewStatus {
  RENEWED = 1,
  TIME_ONLY = 2,
  LAPSED = 3,
  WRONG_INCARNATION = 4,
  STALE_LEASE_EPOCH = 5,
  NOT_A_RENEWER = 6,
}

struct RenewReply {
  1: required RenewStatus status,
  2: required string holder_incarnation,
  3: required i64 holder_now_ms,
  4: required i64 lease_epoch,
  5: required i64 lease_end_ms,
}

struct Grant {
  1: required common.UnitId unit,
  2: required i64 epoch,
}

// Replaces the whole grant set. `carve_outs` are more specific units that the holder does not own.
struct SetGrants {
  1: required common.Sender sender,
  2: required i64 role_epoch,
  3: required i64 sequence,
  4: required string holder_incarnation,
  5: required i64 lease_epoch,
  6: required list<string> renewer_node_ids,
  7: required i32 hash_buckets,
  8: required list<Grant> grants,
  9: required list<common.UnitId> carve_outs,
  10: optional string holder_name,
}

enum OrderStatus {
  DONE = 1,
  DRAINING = 2,
  STALE_ROLE_EPOCH = 3,
  STALE_LEASE_EPOCH = 4,
  WRONG_INCARNATION = 5,
  LAPSED = 6,
}

struct GrantReply {
  1: required OrderStatus status,
  2: required string holder_incarnation,
  3: required i64 holder_now_ms,
  4: required i64 role_epoch,
  5: required i64 sequence,
  6: required i64 lease_epoch,
}

// Asks the holder to drain and drop the units at the given epochs or lower, and every exact or prefix unit that
// is not in `kept`: a pin that was removed from the table belongs to the unit below it and must not outlive it.
struct ReleaseUnits {
  1: required common.Sender sender,
  2: required i64 role_epoch,
  3: required i64 sequence,
  4: required string holder_incarnation,
  5: required list<Grant> units,
  // All exact and prefix units that the holder owns according to the table.
  6: optional list<Grant> kept,
  7: optional string holder_name,
}

struct ReleaseReply {
  1: required OrderStatus status,
  2: required string holder_incarnation,
  3: required list<common.UnitId> released,
  4: required list<common.UnitId> draining,
  5: required i64 role_epoch,
}

// ---- controller and renewer ----

struct AssignRenewer {
  1: required common.Sender sender,
  2: required string service_name,
  3: required i64 role_epoch,
  4: required string server_id,
  5: required common.Address address,
  6: required string holder_incarnation,
  7: required RenewerSet renewers,
}

struct AssignReply {
  1: required common.Sender sender,
  2: required bool accepted,
  3: required i64 lease_epoch,
}

struct StopRenewing {
  1: required common.Sender sender,
  2: required string service_name,
  3: required i64 role_epoch,
  4: required string server_id,
  5: required i64 lease_epoch,
}

// The renewer has stopped for this lease epoch and all lower ones. At most `remaining_ms` of what it renewed is left.
struct StoppedReply {
  1: required common.Sender sender,
  2: required string server_id,
  3: required i64 lease_epoch,
  4: required i64 remaining_ms,
}

struct SuspectServer {
  1: required common.Sender sender,
  2: required string service_name,
  3: required string server_id,
  4: required i64 lease_epoch,
  5: required i64 silent_ms,
  6: required string holder_incarnation,
}

// ---- between entry VMs ----

enum MemberStatus {
  ALIVE = 1,
  SILENT = 2,
  LEFT = 3,
}

// What the sender has heard of another member. Higher sequences of the same incarnation override lower ones.
struct MemberNews {
  1: required common.Sender member,
  2: required i64 sequence,
  3: required MemberStatus status,
  4: required string failure_domain,
  5: required common.Address rpc_address,
}

// `passive` is set by a process that wants deltas but takes no part in membership. `leaving` announces a planned stop.
struct Heartbeat {
  1: required common.Sender sender,
  2: required string failure_domain,
  3: required i64 sequence,
  4: required common.Address rpc_address,
  5: required map<string, i64> role_epochs,
  6: required map<string, i64> map_digests,
  7: optional common.Address relay_address,
  8: optional list<MemberNews> news,
  9: optional bool passive = false,
  10: optional bool leaving = false,
  // Where the sender's VM serves as the gate of servers that do not check grants.
  11: optional common.Address gate_address,
  // Of the router list that a passive sender has; the answer carries the list if it differs.
  12: optional i64 routers_digest,
}

// Content of `PageDelta.changes`. The new page has `unit_count` units; those at `positions` get the given owners
// (indices into the new page's servers), epochs and previous holders. `servers` lists, for each server of the new
// page, its index in the old page's servers, or -1 - n for the n-th of `new_servers`; if it is absent, the new
// servers are appended to the old ones. `page_digest` is the xxh64 of the new page's encoding.
struct PageChanges {
  1: required i64 role_epoch,
  2: required i64 ticket_number,
  3: required i32 unit_count,
  4: optional list<i32> servers,
  5: required list<string> new_servers,
  6: required list<i32> positions,
  7: required list<i32> owners,
  8: required list<i64> epochs,
  9: required map<i32, list<PreviousHolder>> previous,
  10: optional list<common.UnitId> units,
  11: optional i64 epoch_floor,
  12: required i64 page_digest,
  13: optional list<ServerEntry> directory,
}

struct PageDelta {
  1: required common.Sender sender,
  2: required string service_name,
  3: required i64 role_epoch,
  4: required bool pins,
  5: required i32 page_number,
  6: required i64 from_version,
  7: required i64 to_version,
  8: required binary changes,
  9: required i32 hops_left,
}

struct DigestRequest {
  1: required common.Sender sender,
  2: required string service_name,
  3: required i64 digest,
}

struct PageVersion {
  1: required bool pins,
  2: required i32 page_number,
  3: required i64 version,
}

struct DigestReply {
  1: required common.Sender sender,
  2: required string service_name,
  3: required i64 digest,
  4: required list<PageVersion> versions,
  5: required i64 age_ms,
}

struct PagesRequest {
  1: required common.Sender sender,
  2: required string service_name,
  3: required list<PageVersion> known,
}

struct PagesReply {
  1: required common.Sender sender,
  2: required list<PlacementPage> pages,
  3: required i64 age_ms,
}

struct UnitLoad {
  1: required common.UnitId unit,
  2: required double requests_per_s,
}

struct LoadReport {
  1: required common.Sender sender,
  2: required string service_name,
  3: required i64 sequence,
  4: required i32 window_ms,
  5: required list<UnitLoad> loads,
  6: required list<UnitLoad> hot_keys,
}

struct InForceRequest {
  1: required common.Sender sender,
  2: required i64 ticket_number,
}

struct MissingParty {
  1: required string id,
  2: required string reason,
}

struct InForceReply {
  1: required common.Sender sender,
  2: required i64 ticket_number,
  3: required bool in_force,
  4: required list<MissingParty> missing,
  // Services for which the sender acts and for which it answers.
  5: optional list<string> service_names,
}

struct LendSlots {
  1: required common.Sender sender,
  2: required string service_name,
  3: required string server_id,
  4: required i64 sequence,
  5: required i32 slots,
  6: required i32 duration_ms,
}

struct LendReply {
  1: required common.Sender sender,
  2: required i64 sequence,
  3: required i32 slots,
}

// ---- audit ----

enum AuditKind {
  TICKET_ACCEPTED = 1,
  ROLE_TAKEN = 2,
  UNIT_MOVED = 3,
  LEASE_ENDED = 4,
  LEASE_BEGUN = 5,
  HANDOVER_PROVEN = 6,
  SERVER_LEAVING = 7,
  GAP = 8,
  TICKET_IN_FORCE = 9,
}

struct AuditRecord {
  1: required AuditKind kind,
  2: required common.Sender sender,
  3: required i64 sequence,
  4: required i64 wall_time_ms,
  5: required string service_name,
  6: required i64 role_epoch,
  7: required i64 ticket_number,
  8: required string subject,
  9: required string evidence,
  10: optional common.UnitId unit,
  11: optional string from_server_id,
  12: optional string to_server_id,
  13: optional i64 epoch,
}

// ---- envelope of the rpc frames ----

enum MessageType {
  HEARTBEAT = 1,
  PAGE_DELTA = 2,
  DIGEST = 3,
  PAGES = 4,
  LOAD_REPORT = 5,
  IN_FORCE = 6,
  LEND_SLOTS = 7,
  ASSIGN_RENEWER = 8,
  STOP_RENEWING = 9,
  SUSPECT_SERVER = 10,
  RENEW_LEASE = 11,
  SET_GRANTS = 12,
  RELEASE_UNITS = 13,
}

struct Envelope {
  1: required MessageType type,
  2: required i64 request_id,
  3: required bool reply,
  4: required binary body,
}

// The router of an entry VM; without an address if the VM's controller was not heard yet.
struct RouterEntry {
  1: required string vm_id,
  2: optional common.Address rpc_address,
}

// `sequence` is that of the sender's last heartbeat. `routers` answers a passive heartbeat.
struct Acknowledged {
  1: required common.Sender sender,
  2: optional i64 sequence,
  3: optional list<RouterEntry> routers,
}
