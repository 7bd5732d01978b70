#include "strikes.h"

namespace umberhoist::lab {

void Strikes::strike(const Fault& f) {
  if (f.kind == "partner") {
    for (const int p : f.targets) partner(p).trouble(f.state, f.factor, f.lasts);
  } else if (f.kind == "limit") {
    for (const int p : f.targets) {
      partner(p).lower_limit(f.factor);
      if (f.lasts > 0) world_.after(f.lasts, [this, p] { partner(p).lower_limit(1); });
    }
  } else if (f.kind == "drain") {
    for (const int p : f.targets) drain(p);
  } else if (f.kind == "policy") {
    parts_.policies->propose(f.targets, f.state);
  } else if (f.kind == "resubscribe") {
    if (parts_.subscribers != nullptr) parts_.subscribers->resubscribe(f.factor);
  } else if (f.kind == "net") {
    strike_network(f);
  } else {
    for (const int r : f.targets) strike_relay(f, r);
  }
}

void Strikes::strike_relay(const Fault& f, int r) {
  if (f.kind == "kill") parts_.fleet.kill(r, f.lasts, f.folder);
  if (f.kind == "term") parts_.fleet.term(r, f.lasts, f.folder, f.signals);
  if (f.kind == "reload") reload(f, r);
  if (f.kind == "stop") parts_.fleet.pause(r, f.lasts);
  if (f.kind == "join") parts_.fleet.join(r);
  if (f.kind == "leave") parts_.fleet.term(r, -1, "kept");
  if (f.kind == "disk") parts_.fleet.fill_disk(r, f.lasts);
  if (f.kind == "discovery") {
    Discovery& agent = *parts_.agents[static_cast<size_t>(r)];
    agent.mute(true);
    world_.after(f.lasts, [&agent] { agent.mute(false); });
  }
}

// SIGHUP in series, whatever the relay is about just then.
void Strikes::reload(const Fault& f, int r) {
  for (double after = 0; after <= f.lasts; after += f.every) {
    world_.after(after, [this, r] { parts_.fleet.reload(r); });
  }
}

void Strikes::strike_network(const Fault& f) {
  if (parts_.network == nullptr) return;  // relays do not talk in this scenario
  const bool cut = f.loss == 0 && f.delay == 0 && f.duplicate == 0 && f.reorder == 0;
  if (cut) {
    parts_.network->cut(f.targets, f.one_way);
  } else {
    parts_.network->disturb(f.targets, {f.loss, f.delay, f.duplicate, f.reorder, false});
  }
  world_.after(f.lasts, [this] { parts_.network->heal(); });
}

// An endpoint is replaced: the new one is told soon, the drain later, the machine is gone after that.
void Strikes::drain(int p) {
  if (partner(p).replace_one().empty()) return;
  tell(0.31, 4.3);
  const double gone = world_.scenario.partners.drain_grace_s + 6;
  world_.after(gone, [this, p] {
    partner(p).remove_left();
    tell(0.31, 1.8);
  });
}

void Strikes::tell(double soonest, double latest) {
  for (const auto& agent : parts_.agents) agent->changed(Range{soonest, latest}.draw(world_.chance));
}

}  // namespace umberhoist::lab
