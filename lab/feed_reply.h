// Replies of the feeds' commands (docs/feeds.md), as a subscriber reads them.
#pragma once

#include <optional>

#include "feed_client.h"
#include "oracle_feeds.h"

namespace umberhoist::lab {

struct FeedOpened {
  std::string session;
  std::string cursor;
  Position from;
  std::vector<FeedGap> gaps;
};

struct FeedBatch {
  std::string cursor;
  std::vector<FeedOutcome> outcomes;
  std::vector<FeedGap> gaps;
};

// Nothing where it is no such reply.
std::optional<FeedOpened> read_opened(const FeedClient::Reply& reply);
std::optional<FeedBatch> read_batch(const FeedClient::Reply& reply);

// A refusal's code, "FEED CODE" or its first word.
std::string code_of(const FeedClient::Reply& reply);

}  // namespace umberhoist::lab
