// Types shared by the settings, ticket and message schemas.
namespace py nutmeglead._generated.common

enum UnitKind {
  HASH_BUCKET = 1,
  PREFIX = 2,
  EXACT = 3,
}

// A unit is the smallest thing that has an owner. `bucket` is used by HASH_BUCKET, `key` by the others.
struct UnitId {
  1: required UnitKind kind,
  2: optional i32 bucket,
  3: optional string key,
}

struct Address {
  1: required string ip,
  2: required i32 port,
}

struct Sender {
  1: required string node_id,
  2: required string incarnation,
}
