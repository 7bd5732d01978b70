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

TEST_F(ShortWrites, NoticesComeWholeOnOneConnection) {
  program.start();
  constexpr int kNowhere = 99;
  constexpr int kLifeMs = 200;
  for (const std::string id : {"00000000000000a1", "00000000000000a2", "00000000000000a3"}) {
    EXPECT_EQ(put(id, facts("unsafe", kNowhere, kLifeMs)), "+OK");
    const nlohmann::json notice = discovery.notice();
    ASSERT_TRUE(notice.is_object()) << "it never came";
    EXPECT_EQ(notice["id"], id);
  }
}

TEST_F(ShortWrites, TheListIsAskedForWhole) {
  config["known"] = list_json(1, true, {});
  program.configure(config);
  discovery.tell(list_json(2, true, {member_json("s-1", host.address(), 7)}));
  Program late(config);
  late.fail_calls(kOneByteEach);
  late.start();
  Socket client = late.client();
  client.send(put_bytes("00000000000000a1", facts("unsafe")));
  EXPECT_EQ(id_of(host.next()), "00000000000000a1");
}

TEST_F(ShortWrites, TheOperatorsAddressAnswersWhole) {
  config["operator"] = free_address();
  Program with_operator(config);
  with_operator.fail_calls(kOneByteEach);
  with_operator.start();
  EXPECT_TRUE(figures(config["operator"]).contains("svc_clients_gone_total"));
}

}  // namespace
}  // namespace firspool::testing
