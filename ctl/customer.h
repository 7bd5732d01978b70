// umberhoistctl feed read, and hand-in: a customer's side of the relays, over their clients' addresses.
#pragma once

#include <string>
#include <vector>

namespace umberhoist::ctl {

struct Feed {
  std::string customer;
  std::string subscription;
  std::string
      cursor_file;  // where the cursor is kept, in one write with nothing else; empty: the fleet's word
};

// Takes all outcomes that are there: prints each and what is missing, keeps the cursor, acknowledges it. The
// first of `relays` that answers is asked. 0: nothing is missing; 1: an origin is, or a gap was said; throws
// std::runtime_error with one line where no relay can be read from.
int read_feed(const std::vector<std::string>& relays, const Feed& feed);

struct HandIn {
  std::string customer;
  std::string message_class;
  int destination = 0;
  int count = 1;
  int within_ms = 4000;  // the messages' time
};

// Hands messages in, in turn over `relays`, and prints how often each answer came. 0: all were taken on.
int hand_in(const std::vector<std::string>& relays, const HandIn& what);

}  // namespace umberhoist::ctl
