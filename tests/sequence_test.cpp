// Messages of a class in order: those that share a key, the first argument of MSG.PUT, go one at a time.
#include "journal.h"
#include "peers.h"
#include "put.h"

namespace firspool::testing {
namespace {

const char* const kFacts = "c=safe,d=60000,dest=7";
const char* const kKey = "0003552b2efacb4b";
const char* const kOtherKey = "000f8e4d25ef87ff";
const char* const kNoKey = "0000000000000000";

// An endpoint each of whose connections the test holds.
class Sequence : public ::testing::Test {
 protected:
  Sequence() {
    config_["settings"]["categories"][0]["in_order"] = true;
    program_.configure(config_);
  }

  void put(Socket& client, const std::string& key, const std::string& id, const std::string& facts = kFacts) {
    std::string request = put_bytes(id, facts);
    request.replace(request.find(kNoKey), std::string(kNoKey).size(), key);
    client.send(request);
    EXPECT_EQ(client.line(), "+OK");
  }

  static std::string called(Socket& connection) {
    const auto request = read_request(connection);
    return request ? request->headers.at("x-call-id") : "";
  }

  // The next connection, which carries a call of this message.
  Socket connection_with(const std::string& id) {
    Socket out = endpoint_.accept();
    EXPECT_EQ(called(out), id);
    return out;
  }

  static void answer(Socket& connection) { connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); }

  Socket endpoint_ = Socket::listen();
  Discovery discovery_;
  nlohmann::json config_ = config_json(
      discovery_.address(), {member_json("s-1", "127.0.0.1:" + std::to_string(endpoint_.port()), 7)});
  Program program_{config_};
};

// The third message is taken on behind the second, and is called before it: the second waits for the first.
TEST_F(Sequence, TheNextOfAKeyWaitsForTheAnswerOfTheOneBefore) {
  program_.start();
  Socket client = program_.client();
  put(client, kKey, "00000000000000a1");
  Socket first = connection_with("00000000000000a1");
  put(client, kKey, "00000000000000a2");
  put(client, kOtherKey, "00000000000000b1");
  Socket other = connection_with("00000000000000b1");
  answer(first);
  EXPECT_EQ(called(first), "00000000000000a2");
}

// An end that the platform has not heard of is none for it: the next of the key waits for that, however long
// the platform takes. What is taken on behind it under another key is called before.
TEST_F(Sequence, TheNextOfAKeyWaitsForTheNoticeOfTheOneBefore) {
  config_["settings"]["categories"][2]["in_order"] = true;
  program_.configure(config_);
  discovery_.refuse(3);
  program_.start();
  Socket client = program_.client();
  put(client, kKey, "00000000000000a1", "c=unsafe,d=60000,dest=7");
  Socket first = connection_with("00000000000000a1");
  put(client, kKey, "00000000000000a2", "c=unsafe,d=60000,dest=7");
  first.reset();  // it may have run, and cannot be sent again
  Socket second = connection_with("00000000000000a2");
  EXPECT_EQ(discovery_.refused(), 3);
  EXPECT_EQ(discovery_.notice()["id"], "00000000000000a1");
}

TEST_F(Sequence, ZerosAreNoKey) {
  program_.start();
  Socket client = program_.client();
  put(client, kNoKey, "00000000000000a1");
  Socket first = connection_with("00000000000000a1");
  put(client, kNoKey, "00000000000000a2");
  Socket second = connection_with("00000000000000a2");
}

TEST_F(Sequence, OutlastsAKill) {
  program_.start();
  Socket client = program_.client();
  put(client, kKey, "00000000000000a1");
  Socket lost = connection_with("00000000000000a1");
  put(client, kKey, "00000000000000a2");
  program_.kill();
  program_.start();
  client = program_.client();
  Socket first = connection_with("00000000000000a1");
  put(client, kOtherKey, "00000000000000b1");
  Socket other = connection_with("00000000000000b1");
  answer(first);
  EXPECT_EQ(called(first), "00000000000000a2");
}

TEST(SequenceKey, IsAnyTextButZeros) {
  const auto key = [](const std::string& text) {
    return relay::parse_put({"MSG.PUT", text, "a", "c=x,d=8000,dest=7", ""}, 5'000'000).sequence_key;
  };
  EXPECT_EQ(key(kNoKey), 0u);
  EXPECT_EQ(key("0"), 0u);
  EXPECT_NE(key(kKey), 0u);
  EXPECT_EQ(key(kKey), key(kKey));
  EXPECT_NE(key(kKey), key(kOtherKey));
}

// Of no sequence, or of a class that keeps none, a record has not a byte more than before.
TEST(SequenceKey, StandsInTheRecordOfAClassInOrderOnly) {
  MessageRules rules;
  relay::Handed message;
  message.id = "a";
  message.message_class = "safe";
  message.budget = relay::Budget::until(60'000'000);
  const relay::Instant now{50'000'000, 1'800'000'000'000'000, 7};
  const auto recorded = [&](bool in_order, uint64_t key) {
    rules.in_order = in_order;
    message.rules = std::make_shared<const MessageRules>(rules);
    message.sequence_key = key;
    return relay::record::accepted(message, now, 0);
  };
  const size_t plain = recorded(true, 0).size();
  EXPECT_EQ(recorded(false, 9).size(), plain);
  const std::string kept = recorded(true, 0xf1f2f3f4f5f6f7f8u);
  EXPECT_GT(kept.size(), plain);
  const relay::JournalContent content(kept, now);
  EXPECT_EQ(content.messages.at(1).what.message.sequence_key, 0xf1f2f3f4f5f6f7f8u);
  EXPECT_EQ(content.messages.at(1).what.verdict, "");
  EXPECT_EQ(relay::JournalContent(recorded(true, 0), now).messages.at(1).what.message.sequence_key, 0u);
}

}  // namespace
}  // namespace firspool::testing
