#include "parts_spec.h"

#include "table_reader.h"

namespace umberhoist::lab {

void read(TableReader& in, BudgetSpec& out) {
  in.flag("on", out.on);
  in.number("floor", out.floor);
  in.number("burst_ms", out.burst_ms);
  if (!(out.floor > 0 && out.floor <= 1)) throw Unusable("budgets.floor is not above 0 and up to 1");
  if (out.burst_ms < 1 || out.burst_ms > 10'000) throw Unusable("budgets.burst_ms is not 1 to 10000");
}

void read(TableReader& in, AccessSpec& out) {
  in.flag("on", out.on);
  in.number("zones", out.zones);
  in.number("customers", out.customers);
  in.number("deny_rest", out.deny_rest);
  in.number("limit", out.limit);
  in.sections("rule", out.rules);
  if (out.zones < 1 || out.zones > 20) throw Unusable("access.zones is not between 1 and 20");
}

void read(TableReader& in, WrittenRule& out) {
  in.text("customer", out.customer);
  in.text("id", out.rule.id);
  in.text("say", out.rule.say, {"allow", "deny", "prefer", "limit"});
  in.list("class", out.rule.classes);
  in.list("partner", out.rule.partners);
  in.list("kind", out.rule.kinds);
  in.list("from", out.rule.from);
  in.list("to", out.rule.to);
  in.number("per_s", out.rule.per_s);
  if (out.rule.id.empty() || out.rule.say.empty()) throw Unusable("an access.rule has no id or says nothing");
}

void read(TableReader& in, FeedSpec& out) {
  in.flag("on", out.on);
  in.number("subscriptions", out.subscriptions);
  in.number("age_s", out.age_s);
  in.number("disk_share", out.disk_share);
  in.number("batch", out.batch);
  in.number("catch_up_per_s", out.catch_up_per_s);
  in.number("poll_s", out.poll_s);
  in.number("dies_s", out.dies_s);
  in.number("old_cursor", out.old_cursor);
  in.number("no_cursor", out.no_cursor);
  in.number("twice", out.twice);
  in.number("acked", out.acked);
  if (out.subscriptions < 1 || out.batch < 1) throw Unusable("feeds.subscriptions or feeds.batch is below 1");
}

}  // namespace umberhoist::lab
