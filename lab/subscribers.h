// Customers' systems that subscribe to outcome feeds, over the relays' RESP listener (docs/feeds.md).
//
// A subscriber keeps its cursor and what it took in one write: here the cursor and the oracle's history of
// the subscription (oracle_feeds.h) change together. It dies by chance and by a fault, comes back at another
// relay at once, with its cursor, with an older one and the state that belongs to it, with none where its
// last acknowledgement is all that it stands at, or while its older session is still there, which it then
// lets acknowledge once more. It goes on until it is stopped.
#pragma once

#include "feed_reply.h"
#include "fleet.h"
#include "parts_spec.h"

namespace umberhoist::lab {

class Subscribers {
 public:
  Subscribers(World& world, const Fleet& fleet, FeedExact& oracle);
  ~Subscribers();

  void start();
  // So many of all, at this moment, come back at another relay.
  void resubscribe(double share);
  bool caught_up(double until);  // nothing is owed to any of what ended until then
  void stop();                   // for good
  void tell(Figures& figures) const;

 private:
  struct Saved {
    std::string cursor;
    size_t history = 0;
  };
  struct Older {  // session, left open
    std::shared_ptr<FeedClient> client;
    int relay = 0;
    std::string session;
    std::string cursor;
  };
  struct One {
    std::string customer;
    std::string subscription;
    std::string name;
    std::set<std::string> regions;
    bool known = false;  // it was open once
    bool off = false;    // its customer is no more
    Saved state;
    std::vector<Saved> snapshots;  // some, oldest first
    Position shown;                // in acknowledgements and openings: the fleet may remember it
    int life = 0;
    int relay = -1;
    std::string session;
    std::shared_ptr<FeedClient> client;
    std::optional<Older> older;
    double lost_at = 0;
  };
  using Then = std::function<void(const FeedClient::Reply&)>;

  int pick(int but) const;
  bool removed(One& one);  // its customer is no more: it ends
  void connect(One& one);
  void open(One& one);
  void show(One& one);  // its cursor, to the fleet
  void opened(One& one, const FeedOpened& reply, bool shown);
  void read(One& one);
  void took(One& one, const FeedBatch& batch);
  void acknowledge(One& one, std::function<void()> then);
  void die(One& one);
  void again(One& one, double after);
  void refused(One& one, const FeedClient::Reply& reply);
  void let_older_speak(One& one);
  // Calls `then` unless the subscriber has begun another life meanwhile.
  void ask(One& one, const std::vector<std::string>& words, Then then);
  void live(One& one);

  World& world_;
  const Fleet& fleet_;
  FeedExact& oracle_;
  std::vector<std::unique_ptr<One>> all_;
  bool over_ = false;
  uint64_t sessions_ = 0;
  double slowest_ = -1;
  std::map<std::string, uint64_t> codes_;
};

}  // namespace umberhoist::lab
