// Crossings inside one process: bytes that come between two of its steps, and writes that fail there.
#include <sys/ioctl.h>
#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <set>

#include "../relay/journal.h"
#include "program_stage.h"

namespace firspool::testing {
namespace {

constexpr const char* kId = "00000000000000a1";

int waiting_bytes(const Socket& socket) {
  int count = 0;
  ::ioctl(socket.fd(), FIONREAD, &count);
  return count;
}

void limit_file(const Program& program, rlim_t bytes) {
  const rlimit limit{bytes, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(program.pid(), RLIMIT_FSIZE, &limit, nullptr), 0);
}

// Its client has the answer before the host has a byte, also where many come at once.
TEST(ProgramCrossing, AMessageIsTakenOnBeforeItIsSent) {
  Stage s;
  const Socket host = Socket::listen();
  const std::string address = "127.0.0.1:" + std::to_string(host.port());
  s.config["known"] = list_json(1, true, {member_json("s-1", address, 7)});
  s.program.configure(s.config);
  s.program.start();
  std::vector<Socket> clients;
  for (int i = 0; i < 6; ++i) clients.push_back(s.program.client());
  s.program.signal(SIGSTOP);
  for (size_t i = 0; i < clients.size(); ++i) {
    std::string bytes;
    for (const std::string part : {"a", "b"}) bytes += put_bytes(std::to_string(i) + part, facts("unsafe"));
    clients[i].send(bytes);
  }
  s.program.signal(SIGCONT);
  std::set<std::string> called;
  std::vector<Socket> calls;
  while (called.size() < 2 * clients.size()) {
    Socket call = host.accept();
    const auto request = read_request(call);
    ASSERT_TRUE(request);
    const std::string id = id_of(*request);
    EXPECT_GE(waiting_bytes(clients[std::stoul(id)]), id[1] == 'a' ? 5 : 10) << id;
    called.insert(id);
    call.send("HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    calls.push_back(std::move(call));
  }
}

// Handed in on two connections in one turn: none is told that it is taken on before that is written.
TEST(ProgramCrossing, OneIdThatComesTwiceInOneTurnHasOneAnswer) {
  Stage s;
  s.config["limits"]["disk_mb"] = 0.02;
  Program small(s.config);
  small.start();
  std::vector<Socket> clients;
  for (int i = 0; i < 3; ++i) clients.push_back(small.client());
  for (Socket& client : clients) {
    client.send("*1\r\n$4\r\nPING\r\n");
    EXPECT_EQ(client.line(), "+PONG");
  }
  small.signal(SIGSTOP);
  for (Socket& client : clients) client.send(put_bytes(kId, kFacts, std::string(9500, 'x')));
  small.signal(SIGCONT);
  for (Socket& client : clients) EXPECT_TRUE(client.line().starts_with("-BUSY"));
  small.signal(SIGSTOP);
  for (Socket& client : clients) client.send(put_bytes(kId, kFacts));
  small.signal(SIGCONT);
  for (Socket& client : clients) EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), kId);
  s.host.answer("200");
  clients[0].send(put_bytes("00000000000000a2", kFacts));
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

// It is over, and the notice of that is on its way: taken on anew it would run once more, and the notice's
// end would take the new one's records along.
TEST(ProgramCrossing, AnIdWhoseNoticeIsOwedIsNotTakenOnAnew) {
  Stage s;
  s.discovery.refuse(1'000'000);
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  while (s.discovery.refused() == 0) std::this_thread::yield();
  EXPECT_EQ(s.put(kId, facts("unsafe")), "+OK");
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
  s.restart_killed();
  s.discovery.refuse(0);
  std::multiset<std::string> ended;
  for (int i = 0; i < 2; ++i) ended.insert(s.discovery.notice().at("id"));
  EXPECT_EQ(ended, (std::multiset<std::string>{kId, "00000000000000a2"}));
}

// A file that may not grow ends no process, and what is freed recovers by itself.
TEST(ProgramCrossing, NothingStartsThatCannotBeWritten) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe", 99)), "+OK");
  limit_file(s.program, 1);
  EXPECT_TRUE(s.put("00000000000000a2", facts("unsafe")).starts_with("-BUSY"));
  limit_file(s.program, RLIM_INFINITY);
  EXPECT_EQ(s.put("00000000000000a3", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a3");
  limit_file(s.program, 1);
  s.host.answer("200");  // delivered, and its end cannot be written
  EXPECT_TRUE(s.put("00000000000000a4", facts("unsafe")).starts_with("-BUSY"));
  s.restart_killed();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a3"}, {"state", "failed"}}));
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  EXPECT_EQ(id_of(s.host.next()), kId);  // and of the one that is over no call
}

// A call that cannot be recorded is not sent; nor is its message forgotten.
TEST(ProgramCrossing, ACallThatCannotBeRecordedIsNotSent) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe", 99, 1500)), "+OK");
  limit_file(s.program, 1);
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  EXPECT_EQ(s.discovery.notice().at("id"), kId);
  limit_file(s.program, RLIM_INFINITY);
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe", 99)), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

// More failing records than a message has tries.
TEST(ProgramCrossing, RecordsThatFailForAWhileUseUpNoTry) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe", 99)), "+OK");
  limit_file(s.program, 1);
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  limit_file(s.program, RLIM_INFINITY);
  EXPECT_EQ(id_of(s.host.next()), kId);
}

// It gets no part of a core until the time of both is over: no call begins, and both have their notice.
TEST(ProgramCrossing, TimeThatEndsWhileItStandsStillIsOver) {
  Stage s;
  s.program.start();
  const auto over = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  EXPECT_EQ(s.put(kId, facts("unsafe", 99, 1400)), "+OK");
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe", 7, 1400)), "+OK");
  s.host.next();
  s.program.signal(SIGSTOP);
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  std::this_thread::sleep_until(over);
  s.program.signal(SIGCONT);
  std::map<std::string, std::string> ended;
  for (int i = 0; i < 2; ++i) {
    const nlohmann::json notice = s.discovery.notice();
    ended[notice.at("id")] = notice.at("state");
  }
  EXPECT_EQ(ended, (std::map<std::string, std::string>{{kId, "returned"}, {"00000000000000a2", "failed"}}));
  EXPECT_EQ(s.put("00000000000000a3", facts("unsafe", 99)), "+OK");
  s.host.drop();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a3");
}

// A journal as full as it may be, and discovery down.
TEST(ProgramCrossing, AFullJournalIsReadInTime) {
  Stage s;
  s.discovery.mute();
  s.config["settings"]["bounds"]["open_cap"] = 20'000;
  Program program(s.config);
  MessageRules rules;
  rules.name = "safe";
  rules.effect = Effect::kSafe;
  rules.max_attempts = 6;
  rules.time_to_live = 60'000'000;
  size_t held = 0;
  {
    relay::Journal journal(std::move(*relay::Place::take(program.state(), 0)), 1'400'000);
    relay::Handed message{"",
                          "safe",
                          "",
                          99,
                          relay::Budget::until(relay::steady_now() + 60'000'000),
                          "body",
                          "",
                          std::make_shared<const MessageRules>(rules)};
    for (message.id = "0"; journal.accepted(message); message.id = std::to_string(held)) {
      EXPECT_TRUE(journal.attempt(message.id, 0, 0));
      ++held;
    }
  }
  ASSERT_GT(held, 1000u);
  const auto begun = std::chrono::steady_clock::now();
  program.start();
  Socket client = program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
  const auto took = std::chrono::steady_clock::now() - begun;
  EXPECT_LT(took, std::chrono::seconds(10));
  RecordProperty("held", std::to_string(held));
  RecordProperty("ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(took).count()));
}

}  // namespace
}  // namespace firspool::testing
