#include "oracle_rules.h"

#include <algorithm>

namespace umberhoist::lab {
namespace {

bool names(const Ruling& ruling, const std::string& denied_by) {
  return ruling.denied && std::ranges::any_of(ruling.denying, [&](const std::string& id) {
           return id == denied_by.substr(0, denied_by.find(' '));
         });
}

}  // namespace

void RulesKept::judge(const std::string& id, const DoorRecord& record) {
  using How = DoorRecord::How;
  if (record.how == How::kRefused && record.calls.empty()) return;
  double until = record.taken_by();
  if (record.how == How::kDenied) until = record.answered;
  if (until < 0) return;  // nothing is known of it
  std::vector<Ruling> rulings;
  for (const int g : versions_.possible(record.relay, record.sent, until)) {
    rulings.push_back(book_.ruling(g, record.asked));
  }
  if (rulings.empty()) return;
  if (rulings.size() > 1) ++in_doubt_;
  const std::string which = "message " + id + " of " + record.asked.customer + " (class " +
                            record.asked.message_class + ", destination " +
                            std::to_string(record.asked.destination) + ", from " + record.asked.from + ")";
  ++verdict_.checked;
  if (record.how == How::kDenied) {
    ++denied_;
    if (std::ranges::none_of(rulings, [&](const Ruling& r) { return names(r, record.denied_by); })) {
      verdict_.broke(record.answered, record.relay,
                     which + " was answered DENIED by \"" + record.denied_by + "\", which does not deny it");
    }
  } else if (record.how == How::kTaken &&
             std::ranges::all_of(rulings, [](const Ruling& r) { return r.denied; })) {
    verdict_.broke(record.answered, record.relay,
                   which + " was taken on, and rule " + rulings.front().denying.front() + " denies it");
  }
  for (const DoorRecord::Call& call : record.calls) {
    ++verdict_.checked;
    const std::pair<std::string, std::string> by{call.zone, call.kind};
    const auto allows = [&](const Ruling& r) { return r.ways.at(by).allowed; };
    if (!rulings.front().denying.empty()) ++restricted_;
    if (std::ranges::any_of(rulings, allows)) continue;
    verdict_.broke(call.at, record.relay,
                   which + " was sent to zone " + call.zone + ", kind " + call.kind + ", which rule \"" +
                       rulings.front().ways.at(by).rule + "\" forbids");
  }
}

}  // namespace umberhoist::lab
