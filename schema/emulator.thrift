// Days that the emulator runs. A file of a day is JSON with comments; its fields are those of `Day`.
include "settings.thrift"
namespace py nutmeglead._generated.emulator

struct DayService {
  1: required settings.ServiceSettings settings,
  2: required i32 servers,
  3: optional double work_ms = 60,
  4: optional i32 queue = 8,
  5: optional i32 answer_bytes = 200,
}

// Requests of one kind. Their keys are drawn from `keys` names, the first ones more often; a share `hot_share` of the
// requests is for one key.
struct DayFlow {
  1: required string name,
  2: required string service_name,
  3: optional string method = "GET",
  4: required double requests_per_s,
  5: optional i32 time_limit_ms = 1500,
  6: optional i32 target_latency_ms = 300,
  7: optional i32 retries = 2,
  8: optional i32 keys = 400,
  9: optional double hot_share = 0,
}

// `kind` is the name of a registered trouble. `factor` is its strength; troubles without a strength ignore it.
struct DayTrouble {
  1: required string kind,
  2: required double at_s,
  3: optional double for_s = 5,
  4: optional i32 count = 1,
  5: optional double factor = 4,
  6: optional string service_name,
}

struct Day {
  1: required string name,
  2: optional i32 seed = 1,
  3: optional double duration_s = 30,
  4: optional i32 failure_domains = 3,
  5: optional i32 entry_vms = 6,
  6: optional double domain_delay_ms = 4,
  7: optional double client_delay_ms = 8,
  8: required list<DayService> services,
  9: required list<DayFlow> flows,
  10: optional list<DayTrouble> troubles,
}
