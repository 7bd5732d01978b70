// What a scenario says of the parts that relays share: budgets, access rules, feeds. Each is off unless it is
// on, and all need `fleet = true`.
#pragma once

#include <string>
#include <vector>

#include "rule_reading.h"

namespace umberhoist::lab {

class TableReader;

struct BudgetSpec {
  bool on = false;
  double floor = 0.2;      // share of each whole that is divided evenly and needs no talk
  double burst_ms = 1000;  // of a whole may be saved up
};

struct WrittenRule {
  std::string customer;
  AccessRule rule;
};

struct AccessSpec {
  bool on = false;
  int zones = 2;                   // endpoints and relays lie in so many
  double customers = 1;            // this share of the customers has rules, drawn by chance
  double deny_rest = 0;            // and this share of these denies what no rule names
  double limit = 2;                // calls a second of the rules that limit; 0: none does
  std::vector<WrittenRule> rules;  // written ones take the place of those drawn, in all generations
};

struct FeedSpec {
  bool on = false;
  int subscriptions = 2;  // of each customer; the second is bound to one zone, if there are several
  double age_s = 3600;
  double disk_share = 0.2;  // of a relay's disk
  int batch = 200;          // outcomes in a batch
  double catch_up_per_s = 2000;
  double poll_s = 0.3;      // an empty batch is followed by the next so long after
  double dies_s = 8;        // a subscriber's life, on average; 0: for ever
  double old_cursor = 0.2;  // of the reconnects show an older cursor, with the state that it belongs to
  double no_cursor = 0.2;   // and show none, where nothing can be lost by it
  double twice = 0.2;       // of the reconnects happen while the older session is still there
  double acked = 0.7;       // of the batches are acknowledged
};

void read(TableReader& in, BudgetSpec& out);
void read(TableReader& in, AccessSpec& out);
void read(TableReader& in, WrittenRule& out);
void read(TableReader& in, FeedSpec& out);

}  // namespace umberhoist::lab
