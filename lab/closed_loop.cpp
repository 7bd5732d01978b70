#include "closed_loop.h"

namespace umberhoist::lab {
namespace {

constexpr double kPause = 0.25;         // between requests to a relay that serves
constexpr double kPauseEnding = 0.002;  // and to one that was told to end
constexpr double kReconnect = 0.1;
constexpr double kLife = 3;  // of a message, at most

}  // namespace

ClosedLoop::ClosedLoop(World& world, const Fleet& fleet) : world_(world), fleet_(fleet) {
  for (int relay = 0; relay < static_cast<int>(fleet.size()); ++relay) {
    for (int i = 0; i < world.scenario.load.closed_loop; ++i) {
      all_.push_back(std::make_unique<One>());
      all_.back()->relay = relay;
    }
  }
}

void ClosedLoop::start() {
  for (const auto& one : all_) connect(*one);
}

void ClosedLoop::stop() { over_ = true; }

void ClosedLoop::tell(Figures& figures) const {
  figures.add("closed_loop_answered", static_cast<double>(answered_));
  figures.add("closed_loop_answered_while_ending", static_cast<double>(while_ending_));
  figures.add("closed_loop_unanswered", static_cast<double>(unanswered_));
}

void ClosedLoop::connect_later(One& one) {
  world_.after(kReconnect, [this, &one] { connect(one); });
}

void ClosedLoop::connect(One& one) {
  if (over_) return;
  if (!fleet_.serving(one.relay)) return connect_later(one);
  one.connection = std::make_shared<RespConnection>(world_);
  one.connection->open(fleet_.address(one.relay), [this, &one](bool up) {
    if (up) return ask(one);
    connect_later(one);
  });
}

void ClosedLoop::ask(One& one) {
  if (over_) return;
  const Scenario& s = world_.scenario;
  Wanted wanted;
  wanted.relay = one.relay;
  wanted.message_class =
      std::uniform_int_distribution<int>(0, static_cast<int>(s.classes.size()) - 1)(world_.chance);
  wanted.destination = std::uniform_int_distribution<int>(0, s.partners.count - 1)(world_.chance);
  const ClassSpec& c = s.classes[static_cast<size_t>(wanted.message_class)];
  wanted.due = world_.now() + std::min(kLife, c.give_up_s);
  wanted.key = hex(world_.chance());
  const Request request = make_request(world_, wanted);
  one.connection->ask(request.bytes, [this, &one, id = request.id](const std::string& line, bool timed_out) {
    answered(one, id, line, timed_out);
  });
}

void ClosedLoop::answered(One& one, const std::string& id, const std::string& line, bool timed_out) {
  const bool serves = fleet_.serving(one.relay);
  if (line.empty()) {
    ++unanswered_;
    const Answer how = timed_out ? Answer::kSilent : serves ? Answer::kClosed : Answer::kGone;
    world_.oracles.answered(world_.now(), id, how);
    return connect_later(one);
  }
  ++answered_;
  if (!serves) ++while_ending_;
  world_.parts.answered(world_.now(), id, line);
  const bool taken = line.front() == '+' || line.front() == '$';
  const Answer how = taken ? Answer::kTaken : line.starts_with("-BUSY") ? Answer::kRefused : Answer::kFailed;
  world_.oracles.answered(world_.now(), id, how);
  world_.after(serves ? kPause : kPauseEnding, [this, &one] {
    if (one.connection->open()) ask(one);
  });
}

}  // namespace umberhoist::lab
