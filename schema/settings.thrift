// Settings of the programs. A settings file is JSON with comments whose fields are those of `Settings`.
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
  4: optional i32 router_port = 8080,
  5: optional i32 router_rpc_port = 8081,
  6: optional i32 router_admin_port = 8082,
  7: optional i32 controller_rpc_port = 8083,
  8: optional i32 controller_admin_port = 8084,
  // Where this VM's router serves as the gate of servers that do not check grants.
  9: optional i32 router_gate_port = 8085,
}

struct PlatformSettings {
  1: required common.Address table_service,
  2: required common.Address object_store,
  3: required common.Address vm_list,
  4: optional i32 request_timeout_ms = 1000,
  5: optional i32 vm_list_poll_interval_ms = 5000,
}

struct RetrySettings {
  1: optional string policy = "budgeted",
  2: optional double budget_ratio = 0.1,
  3: optional i32 max_attempts = 3,
  4: optional i32 backoff_base_ms = 5,
  5: optional i32 backoff_max_ms = 100,
  6: optional i32 hedge_after_ms = 0,
}

struct AdmissionSettings {
  1: optional string policy = "deadline",
  2: optional i32 priority = 1,
  3: optional i32 max_queue_count = 256,
  4: optional i64 max_queue_bytes = 4194304,
  5: optional i32 share_percent = 100,
}

struct ConcurrencySettings {
  1: optional string policy = "fixed",
  2: optional i32 min_limit = 1,
  3: optional i32 max_limit = 64,
}

struct EjectionSettings {
  1: optional string policy = "stepwise",
  2: optional i32 failures_to_eject = 5,
  3: optional i32 base_ejection_ms = 1000,
  4: optional i32 max_ejection_ms = 30000,
  5: optional i32 min_available_percent = 50,
  6: optional i32 slow_start_ms = 10000,
}

struct PlacementSettings {
  1: optional string policy = "balanced",
  2: optional double imbalance_weight = 1.0,
  3: optional double churn_weight = 1.0,
  4: optional double unavailable_weight = 1.0,
  5: optional double max_imbalance = 1.1,
  6: optional i32 max_moves_per_round = 64,
  7: optional i32 round_interval_ms = 5000,
  8: optional i32 max_pins = 240,
  9: optional i32 cold_start_ms = 30000,
}

struct ServiceSettings {
  1: required string name,
  2: required i32 slots_per_instance,
  3: required i32 connections_per_instance,
  4: optional i32 expected_instances = 1,
  5: optional bool checks_grants = true,
  6: optional bool idempotent = false,
  7: optional i32 hash_buckets = 256,
  8: optional i32 request_timeout_ms = 5000,
  9: optional i64 max_body_bytes = 16777216,
  10: optional i32 handover_max_wait_ms = 2000,
  11: optional i32 handover_max_count = 512,
  12: optional i64 handover_max_bytes = 8388608,
  13: optional AdmissionSettings admission,
  14: optional ConcurrencySettings concurrency,
  15: optional RetrySettings retries,
  16: optional EjectionSettings ejection,
  17: optional PlacementSettings placement,
  18: optional string selection = "least_in_flight",
}

struct OwnershipSettings {
  1: optional i32 lease_ttl_ms = 1000,
  2: optional i32 renew_interval_ms = 250,
  3: optional i32 renewers_per_server = 3,
  4: optional i32 suspect_after_ms = 500,
  5: optional i32 clock_drift_ppm = 500,
  6: optional i32 table_writes_per_s = 75,
  7: optional i32 role_silent_ms = 1500,
  8: optional i32 release_timeout_ms = 5000,
}

struct DisseminationSettings {
  1: optional i32 heartbeat_interval_ms = 500,
  2: optional i32 silent_after_ms = 1500,
  3: optional i32 digest_interval_ms = 1000,
  4: optional i32 fanout = 3,
  5: optional string push_strategy = "domain_tree",
  6: optional i32 push_timeout_ms = 250,
  7: optional i32 heartbeat_peers = 6,
  8: optional i32 mesh_max_members = 16,
  9: optional i32 gone_after_ms = 30000,
}

struct AuditSettings {
  1: optional i32 buffer_max_records = 10000,
  2: optional i32 batch_max_records = 500,
  3: optional i32 flush_interval_ms = 1000,
}

struct LogSettings {
  1: optional string level = "INFO",
  2: optional string format = "json",
}

struct Settings {
  1: required string user,
  2: required NodeSettings node,
  3: required PlatformSettings platform,
  4: required list<FailureDomain> failure_domains,
  5: required list<ServiceSettings> services,
  6: optional OwnershipSettings ownership,
  7: optional DisseminationSettings dissemination,
  8: optional AuditSettings audit,
  9: optional LogSettings log,
  10: optional i32 graceful_stop_ms = 30000,
}
