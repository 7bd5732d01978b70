#include "feed_reply.h"

#include <nlohmann/json.hpp>

namespace umberhoist::lab {
namespace {

using nlohmann::json;

std::vector<FeedGap> gaps_in(const json& from) {
  std::vector<FeedGap> out;
  for (const json& gap : from.value("gaps", json::array())) {
    const json to = gap.value("to", json());
    out.push_back({gap.at("origin").get<std::string>(), gap.at("from").get<uint64_t>(),
                   to.is_number() ? to.get<uint64_t>() : 0});
  }
  return out;
}

template <typename Out, typename Read>
std::optional<Out> parse(const FeedClient::Reply& reply, Read read) {
  if (reply.kind != '$') return std::nullopt;
  try {
    return read(json::parse(reply.text));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<FeedOpened> read_opened(const FeedClient::Reply& reply) {
  return parse<FeedOpened>(reply, [](const json& from) {
    return FeedOpened{from.at("session").get<std::string>(), from.at("cursor").get<std::string>(),
                      from.value("from", Position()), gaps_in(from)};
  });
}

std::optional<FeedBatch> read_batch(const FeedClient::Reply& reply) {
  return parse<FeedBatch>(reply, [](const json& from) {
    FeedBatch out{from.at("cursor").get<std::string>(), {}, gaps_in(from)};
    for (const json& o : from.at("outcomes")) {
      out.outcomes.push_back({o.at("origin").get<std::string>(), o.at("number").get<uint64_t>(),
                              o.at("id").get<std::string>(), o.at("answer").get<std::string>()});
    }
    return out;
  });
}

std::string code_of(const FeedClient::Reply& reply) {
  if (reply.kind == '$') return "no such reply";
  const size_t word = reply.text.find(' ');
  if (!reply.text.starts_with("FEED ")) return reply.text.substr(0, word);
  return reply.text.substr(0, reply.text.find(' ', word + 1));
}

}  // namespace umberhoist::lab
