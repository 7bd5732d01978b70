// Shows the customers' rules and their hits to staff, and spreads the hits over the fleet (access/spread.h):
// a timer, the fleet's wire, a file in the folder that lasts, METRICS and ACCESS. Hits themselves are the
// journal's.
//
// Made where a customer has rules, or had some that were hit. What is known of other relays is written down
// every kWriteEvery, so that it outlasts a restart of all.
//
// The fleet's counts never go back in what one relay shows: a process in a fleet shows none until it has had
// an exchange and heard each live relay's part that it knows of anew, or kWholeAtLast has passed, or nobody
// has answered for kAlone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "../access/hit_replicator.h"
#include "config.h"
#include "custody.h"
#include "fleet_link.h"

namespace firspool::relay {

class AccessLink {
 public:
  static constexpr Time kWriteEvery = 10'000'000;
  static constexpr Time kAlone = 3 * umberhoist::access::HitReplicator::kPeriod;
  static constexpr Time kWholeAtLast = 30'000'000;
  static constexpr size_t kMostSeries = 200;    // of METRICS by rule; the rest is summed by customer
  static constexpr size_t kMostCustomers = 50;  // of these sums; the rest is one

  static constexpr char kChannel = 'h';  // of the fleet's wire

  // `custody` outlasts it.
  AccessLink(boost::asio::io_context& io, const Config& config, const Custody& custody);

  void join(FleetLink& fleet);  // which outlasts it, or leave() is called first
  void leave();
  void retune(const Config& config);

  std::string call(const std::string& rest);  // ACCESS's
  std::string figures();                      // lines of METRICS

  // Of the disk, what its file may take, both of it while one is replaced; 0 where there is none.
  static size_t disk(const Config& config);

 private:
  void heard(const std::string& from, std::string_view bytes);
  void arm();
  void step();
  void see_own();
  bool whole();
  void restore();  // what was known of other relays' hits
  void write();
  std::string hits(const std::string& customer);

  const Custody& custody_;
  std::string path_;
  size_t most_;  // bytes of the file
  std::string described_;
  umberhoist::access::HitReplicator spread_;
  FleetLink* fleet_ = nullptr;  // null: it is in none now
  bool restored_ = false;
  bool whole_;  // the fleet's counts may be shown
  Time joined_ = 0;
  Time heard_ = 0;  // when another was, last
  uint64_t exchanges_then_ = 0;
  boost::asio::steady_timer timer_;
  Time written_ = 0;
  uint64_t unwritten_ = 0;
};

}  // namespace firspool::relay
