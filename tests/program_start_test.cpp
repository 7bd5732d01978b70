// Starts in which the system does not give the program at once what it needs.
#include "program_stage.h"

namespace firspool::testing {
namespace {

constexpr const char* kSocketsFailOften = "seed=3,socket=0.8";

TEST(ProgramStart, SocketsThatFailForAMomentEndNoStart) {
  Stage s;
  s.config["operator"] = free_address();
  s.program.configure(s.config);
  s.program.fail_calls(kSocketsFailOften);
  s.program.start();
  EXPECT_TRUE(asked(s.config["operator"], "STATUS").starts_with("OK"));
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a1");
}

}  // namespace
}  // namespace firspool::testing
