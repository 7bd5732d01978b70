// New settings at SIGHUP: open messages keep the rules that they came under, whatever becomes of their class.
#include <csignal>

#include "program_stage.h"

namespace firspool::testing {
namespace {

struct Retune : ::testing::Test, Stage {
  std::string address = free_address();
  int reloads = 0;

  Retune() {
    config["operator"] = address;
    program.configure(config);
  }
  void reload() {
    program.configure(config);
    program.signal(SIGHUP);
    EXPECT_TRUE(becomes(address, "svc_reloads_ok_total", std::to_string(++reloads)));
  }
};

TEST_F(Retune, AClassThatComesBackWithAnotherEffectChangesNoOpenMessage) {
  program.start();
  EXPECT_EQ(put("00000000000000a1", facts("keyed")), "+OK");
  EXPECT_EQ(id_of(host.next()), "00000000000000a1");
  const nlohmann::json before = config["settings"]["categories"];
  nlohmann::json& classes = config["settings"]["categories"];
  classes.erase(1);
  reload();
  EXPECT_TRUE(put("00000000000000a2", facts("keyed")).starts_with("-ERR"));
  classes = before;
  classes[1]["semantics"] = "unsafe";
  reload();
  EXPECT_EQ(put("00000000000000a3", facts("keyed", 8)), "+OK");
  host.reset();  // it may have run, and may be repeated by its old rules
  EXPECT_EQ(id_of(host.next()), "00000000000000a1");
  host.answer("200");
  discovery.tell(list_json(2, false, {member_json("s-2", host.address(), 8)}));
  EXPECT_EQ(id_of(host.next()), "00000000000000a3");
  host.reset();  // it may have run too, and by its rules that is its end
  EXPECT_EQ(discovery.notice(), nlohmann::json({{"id", "00000000000000a3"}, {"state", "failed"}}));
}

TEST_F(Retune, AFileThatCannotBeReadJustNowIsTakenALittleLater) {
  program.fail_calls("seed=3,spell_ms=1000,period_ms=1000,read=0.5");
  program.start();
  nlohmann::json& classes = config["settings"]["categories"];
  for (int i = 0; i < 3; ++i) {
    classes.push_back(classes[0]);
    classes.back()["name"] = "fresh" + std::to_string(i);
    reload();
  }
  EXPECT_EQ(put("00000000000000a1", facts("fresh2", 8)), "+OK");
}

}  // namespace
}  // namespace firspool::testing
