// What the relay adds to the settings of its file.
#include "../relay/config.h"

#include "peers.h"

namespace firspool::testing {
namespace {

TEST(Config, LeavesTimeForAWriteThatIsHeldUp) {
  const relay::Config config = relay::parse_config(config_json("127.0.0.1:1", {}).dump(), "state");
  EXPECT_GE(config.settings.write_delay, 150'000);
}

}  // namespace
}  // namespace firspool::testing
