// Writes that the system takes in part only, each of them: what is left follows at once, on connections that
// are used again as well.
#include "program_stage.h"

namespace firspool::testing {
namespace {

constexpr const char* kOneByteEach = "short=1";
constexpr int kTimesOnOneConnection = 3;

struct ShortWrites : ::testing::Test, Stage {
  ShortWrites() { program.fail_calls(kOneByteEach); }
};

TEST_F(ShortWrites, AnswersComeWholeOnOneConnection) {
  program.start();
  Socket client = program.client();
  for (int i = 0; i < kTimesOnOneConnection; ++i) {
    client.send("*1\r\n$4\r\nPING\r\n");
    EXPECT_EQ(client.line(), "+PONG");
  }
}

}  // namespace
}  // namespace firspool::testing
