// Types that the settings and ticket schemas share.
namespace py nutmeglead._generated.common

struct Address {
  1: required string ip,
  2: required i32 port,
}
