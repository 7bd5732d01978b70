#include "fault.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

#include "table_reader.h"

namespace umberhoist::lab {
namespace {

// `count` of `all`, or their share, in the order that chance gives.
std::vector<int> pick(const FaultSpec& spec, int all, Chance& chance) {
  const double share = spec.share.draw(chance);
  const double count = share > 0 ? std::round(share * all) : std::floor(spec.count.draw(chance) + 0.5);
  std::vector<int> out(static_cast<size_t>(all));
  std::iota(out.begin(), out.end(), 0);
  std::shuffle(out.begin(), out.end(), chance);
  out.resize(static_cast<size_t>(std::clamp<double>(count, share > 0 ? 0 : 1, all)));
  return out;
}

// Relays that come later, and that leave for good, are the last ones: voters are the first.
std::vector<int> last(const FaultSpec& spec, int relays, Chance& chance) {
  const int count = std::clamp(static_cast<int>(std::floor(spec.count.draw(chance) + 0.5)), 1, relays);
  std::vector<int> out(static_cast<size_t>(count));
  std::iota(out.begin(), out.end(), relays - count);
  return out;
}

}  // namespace

void read(TableReader& in, FaultSpec& out) {
  in.text("kind", out.kind,
          {"kill", "term", "stop", "roll", "partner", "limit", "drain", "discovery", "surge", "hot", "net",
           "disk", "policy", "resubscribe", "join", "leave", "reload"});
  if (out.kind.empty()) throw Unusable("a fault has no kind");
  in.text("state", out.state,
          {"down", "silent", "hung", "slow", "lossy", "errors", "shut", "mute", "late", "aborted", "rules",
           "customer"});
  in.text("folder", out.folder, {"kept", "emptied", "torn"});
  in.text("direction", out.direction, {"both", "one"});
  in.range("at_s", out.at_s);
  in.range("for_s", out.for_s);
  in.range("share", out.share);
  in.range("count", out.count);
  in.range("factor", out.factor);
  in.range("every_s", out.every_s);
  in.range("loss", out.loss);
  in.range("delay_ms", out.delay_ms);
  in.range("duplicate", out.duplicate);
  in.range("reorder", out.reorder);
  in.number("signals", out.signals);
  in.number("stream", out.stream);
  if (out.kind == "partner" && out.state.empty()) throw Unusable("a partner's fault has no state");
  if (out.kind == "discovery" && out.state != "mute" && out.state != "late") {
    throw Unusable("a fault of discovery is mute or late");
  }
}

bool Fault::of_partners() const {
  return kind == "partner" || kind == "limit" || kind == "hot" || kind == "drain";
}

std::string Fault::text() const {
  std::ostringstream out;
  out << kind;
  if (!state.empty()) out << " " << state;
  if (kind == "kill" || kind == "term" || kind == "roll") out << ", folder " << folder;
  if (factor != 1) out << " x" << std::round(factor * 100) / 100;
  if (loss > 0) out << ", loss " << std::round(loss * 100) << "%";
  if (delay > 0) out << ", delay " << std::round(delay * 1000) << " ms";
  if (!targets.empty()) {
    out << " of " << (of_partners() ? "partners" : "relays");
    for (size_t i = 0; i < targets.size(); ++i) {
      if (i == 8) {
        out << " and " << targets.size() - i << " more";
        break;
      }
      out << " " << targets[i];
    }
  }
  if (lasts > 0) out << " for " << std::round(lasts * 10) / 10 << " s";
  return out.str();
}

void draw_faults(const std::vector<FaultSpec>& specs, int partners, int relays, uint64_t seed,
                 std::vector<Fault>& out) {
  for (const FaultSpec& spec : specs) {
    Chance chance(seed, 1000 + static_cast<uint64_t>(spec.stream));
    Fault f;
    f.kind = spec.kind;
    f.state = spec.state;
    f.folder = spec.folder;
    f.at = spec.at_s.draw(chance);
    f.lasts = spec.for_s.draw(chance);
    f.factor = spec.factor.draw(chance);
    f.loss = spec.loss.draw(chance);
    f.delay = spec.delay_ms.draw(chance) / 1000;
    f.duplicate = spec.duplicate.draw(chance);
    f.reorder = spec.reorder.draw(chance);
    f.one_way = spec.direction == "one";
    f.signals = spec.signals;
    if (f.kind == "reload") f.every = spec.every_s.draw(chance);
    if (f.kind == "join" || f.kind == "leave") {
      f.targets = last(spec, relays, chance);
    } else if (f.kind == "resubscribe") {
      f.factor = spec.share.draw(chance);
    } else if (f.kind != "surge") {
      f.targets = pick(spec, f.of_partners() ? partners : relays, chance);
    }
    if (f.kind != "roll") {
      out.push_back(f);
      continue;
    }
    // One relay after the other; every second one by SIGKILL.
    const double every = spec.every_s.draw(chance);
    for (size_t i = 0; i < f.targets.size(); ++i) {
      Fault one = f;
      one.kind = i % 2 == 0 ? "term" : "kill";
      one.at = f.at + every * static_cast<double>(i);
      one.targets = {f.targets[i]};
      out.push_back(one);
    }
  }
}

}  // namespace umberhoist::lab
