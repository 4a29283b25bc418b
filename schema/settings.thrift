// Settings of the programs. A settings file is JSON with comments; its fields are those of `Settings`.
include "common.thrift"
namespace py nutmeglead._generated.settings

struct FailureDomain {
  1: required string name,
  2: optional string region = "default",
}

struct NodeSettings {
  1: required string node_id,
  2: required string ip,
  3: required string failure_domain,
  4: optional i32 front_port = 8080,
  5: optional i32 ready_port = 8081,
  // Port for messages between entry VMs: datagrams over UDP, table copies and ticket states over TCP.
  6: optional i32 peer_port = 8082,
  7: optional i32 metrics_port = 8083,
  8: optional double cpu_cores = 1.0,
}

// Limits that the system keeps. The users' platform gives the same limits in its own settings.
struct BoundsSettings {
  1: optional i32 leave_ms = 2000,
  2: optional i32 stop_grace_ms = 6000,
  3: optional double retry_ratio = 0.2,
  4: optional i32 retry_window_ms = 10000,
  5: optional i32 retry_base_count = 64,
  6: optional i32 max_hold_ms = 10000,
}

struct ServiceSettings {
  1: required string name,
  2: required i32 slots_per_instance,
  3: required i32 connections_per_instance,
  // Whether requests with methods other than GET and HEAD may run more than once.
  4: optional bool idempotent = false,
  5: optional bool large_answers = false,
  6: optional i32 timeout_ms = 5000,
  7: optional i32 target_latency_ms = 300,
  // 0 is the highest priority.
  8: optional i32 priority = 1,
  9: optional i32 max_servers_per_request = 2,
  10: optional string health_path = "/health",
  // For how long requests for a key are slow after a server got the key without a handover.
  11: optional i32 cold_keys_ms = 0,
}

struct LogSettings {
  1: optional string level = "INFO",
  2: optional string format = "json",
}

struct Settings {
  1: required string user,
  2: required NodeSettings node,
  3: required common.Address store,
  4: required list<FailureDomain> failure_domains,
  5: required list<ServiceSettings> services,
  6: optional BoundsSettings bounds,
  7: optional LogSettings log,
}
