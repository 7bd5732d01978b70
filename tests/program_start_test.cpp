// Starts in which the system does not give the program at once what it needs.
#include <csignal>

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

// Of each new descriptor, and of each option of it. A client whose connection is closed unread comes again.
TEST(ProgramStart, DescriptorsThatCannotBeWatchedOrSetLoseNothing) {
  Stage s;
  s.program.fail_calls("seed=4,watch=0.4,setsockopt=0.5");
  s.program.start();
  int64_t id = 1'000'000'000'000'000;
  for (std::string answer; answer != "+OK";) answer = s.put(std::to_string(++id), facts("unsafe"));
  EXPECT_EQ(id_of(s.host.next()), std::to_string(id));
  s.host.answer("200");
  s.program.signal(SIGTERM);
  EXPECT_EQ(s.program.wait(), 0);
}

}  // namespace
}  // namespace firspool::testing
