// Types shared by the settings and ticket schemas.
namespace py nutmeglead._generated.common

struct Address {
  1: required string ip,
  2: required i32 port,
}
