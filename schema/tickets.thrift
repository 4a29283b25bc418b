// Change tickets. A ticket holds the complete new state of each server and each claim that it changes.
include "common.thrift"
namespace py nutmeglead._generated.tickets

enum ServerState {
  PRESENT = 1,
  LEAVING = 2,
  REMOVED = 3,
}

struct ServerItem {
  1: required string service_name,
  2: required string server_id,
  3: required ServerState state,
  4: optional common.Address address,
  5: optional string failure_domain,
}

// Assigns keys to a server. Either `key` is set, which stands for its number, or the pair `first_number` and
// `last_number`. Without `server_id`, the keys go back to the balancer.
struct KeyClaim {
  1: required string service_name,
  2: optional string key,
  3: optional i32 first_number,
  4: optional i32 last_number,
  5: optional string server_id,
}

struct Ticket {
  1: required string filing_id,
  2: required i64 base_number,
  3: required string filed_by,
  4: optional string reason,
  5: optional list<ServerItem> servers,
  6: optional list<KeyClaim> claims,
  7: optional i64 number,
}
