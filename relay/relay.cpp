#include "relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "config_policy.h"
#include "log.h"

namespace firspool::relay {
namespace {

const std::string kHost = "host ";  // names of what is remembered
const std::string kDestination = "destination ";

constexpr Time kMs = 1000;
constexpr Time kServeOn = 500 * kMs;    // after SIGTERM: new connections still come for a while
constexpr Time kLastCall = 3500 * kMs;  // SIGKILL follows 3.7 s after SIGTERM at the soonest
constexpr Time kStopPoll = 50 * kMs;
constexpr Time kReport = 10 * 1000 * kMs;
constexpr Time kFirstWord = 300 * kMs;  // discovery answers at once, unless it is down

// Descriptors are shared out so that no side starves another: the relay's own, the calls that may be out,
// idle connections to hosts; clients and peers that only keep a place have the rest.
constexpr size_t kOwnDescriptors = 24;

size_t most_idle(const Config& config) { return config.sockets / 6; }

// Where a successor may come, it has descriptors of its own beside this process's.
size_t most_clients(const Config& config) {
  const size_t own = kOwnDescriptors + (config.operator_address ? Operator::kDescriptors : 0) +
                     (config.fleet ? FleetWire::descriptors(*config.fleet) : 0);
  const size_t others =
      (config.inherited ? 2 * own : own) + static_cast<size_t>(config.settings.slots) + most_idle(config);
  return std::max(config.sockets / 3, config.sockets - std::min(others, config.sockets));
}

Upstream::Limits upstream_limits(const Config& config) {
  Upstream::Limits out;
  out.connect_timeout = config.settings.connect_timeout;
  out.idle = config.settings.conn_idle;
  out.most_idle = most_idle(config);
  return out;
}

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const Config& config,
             std::function<void(const tcp::endpoint&)> listening)
    : io_(io),
      config_(config),
      standing_(take_places(config.state)),
      custody_(io, std::move(standing_.own), file_limit(), config.settings, config.discovery, waits_,
               [this](Event event) { happened(std::move(event)); }),
      policy_(config.settings, config.seed),
      random_(config.seed),
      wake_timer_(io),
      stop_timer_(io),
      report_timer_(io),
      upstream_(
          io, upstream_limits(config), config.report_fields,
          [this](const Call& call) { return may_start(call); },
          [this](const Call&) { custody_.figures().attempt(); },
          [this](const AttemptEnded& end, bool began) { ended(end, began); },
          [this](const ProbeEnded& end) { happened(end); }),
      replies_(custody_, directory_, upstream_,
               [this] {
                 const bool serving = clients_ && stopping_since_ == 0 && !handing_;
                 return Replies::State{serving, fleet_ ? fleet_->policy().closed() : "",
                                       clients_ ? clients_->open() : 0, avoided_};
               }),
      watch_(
          io, config.discovery, config.names, AskTimes(config.settings, config.seed),
          [this, known = config.known.revision] { return std::max(known, directory_.revision()); },
          [this](const HostList& list) { told(list); }, [this] { open(); }),
      listening_(std::move(listening)),
      open_timer_(io),
      peer_timer_(io) {
  if (!standing_.predecessor) join_fleet();
  if (config.operator_address) {
    operator_.emplace(io, *config.operator_address,
                      [this](const std::string& call) { return replies_.to(call); });
  }
  waiting_ = custody_.journal().recovered();
  if (standing_.left) adopt(*std::exchange(standing_.left, {}));
  told(config_.known);
  recall(custody_.journal().remembered());
  open_timer_.expires_after(std::chrono::microseconds(kFirstWord));
  open_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) open();
  });
}

// What the process before knew of hosts and destinations. The configuration's list may be older: hosts that
// were told to drain would be sent to again.
void Relay::recall(const std::map<std::string, std::string>& facts) {
  HostList list;
  list.complete = true;
  std::vector<DestinationMemory> memories;
  const Instant now = instant_now();
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, value] : facts) {
    const nlohmann::json fact = nlohmann::json::parse(value);
    if (name == Journal::kRevision) list.revision = fact.get<int64_t>();
    if (name.starts_with(kHost)) members.push_back(fact);
    if (name.starts_with(kDestination)) {
      Instant told;  // earlier versions wrote no clocks
      if (fact.contains("clocks")) {
        told = {fact["clocks"].at(0).get<Time>(), fact["clocks"].at(1).get<Time>(),
                fact["clocks"].at(2).get<uint64_t>()};
      }
      const auto steady = [&](const char* key) {
        const Time wall = fact.at(key).get<Time>();
        return wall == 0 ? 0 : here({told.steady + wall - told.wall, wall, told.boot}, now);
      };
      memories.push_back({std::stoi(name.substr(kDestination.size())), fact.at("tokens").get<int>(),
                          steady("out_since"), steady("back_since"), fact.at("base").get<double>()});
    }
  }
  list.hosts =
      parse_list({{"revision", list.revision}, {"complete", true}, {"members", members}}, config_.names)
          .hosts;
  if (!list.hosts.empty()) told(list);
  for (const DestinationMemory& memory : memories) happened(memory);
}

void Relay::remember(const DestinationMemory& memory) {
  const Instant now = instant_now();
  const auto wall = [&](Time t) { return t == 0 ? 0 : t + now.wall - now.steady; };
  const nlohmann::json fact = {{"tokens", memory.tokens},
                               {"out_since", wall(memory.out_since)},
                               {"back_since", wall(memory.back_since)},
                               {"base", memory.base},
                               {"clocks", {now.steady, now.wall, now.boot}}};
  custody_.journal().remember(kDestination + std::to_string(memory.destination), fact.dump());
}

// Only now messages are taken on or resumed: what discovery had to tell at once has been heard.
void Relay::open() {
  if (clients_ || stopping_since_ != 0) return;
  if (standing_.predecessor) return succeed();
  serve();
}

void Relay::serve() {
  join_fleet();
  custody_.resume(std::exchange(waiting_, {}));
  listen();
  report();
}

// A successor joins once it serves: its predecessor has the address until then.
void Relay::join_fleet() {
  if (!config_.fleet || fleet_) return;
  PolicyLink::Host host;
  host.check = [this](const std::string& policy) -> std::string {
    try {
      (void)with_policy(config_, policy);
      return "";
    } catch (const std::exception& fault) {
      return fault.what();
    }
  };
  host.fault = [this](const std::string& policy) { return policy_fault(config_, policy); };
  host.adopt = [this](const std::string& policy) { take(with_policy(config_, policy)); };
  fleet_.emplace(
      io_, config_, UMBERHOIST_VERSION,
      [this](int relays) {
        if (!config_.fleet->count_view || std::exchange(relays_, relays) == relays) return;
        apply_share();
      },
      std::move(host));
  replies_.add("POLICY", [this](const std::string& rest) {
    return fleet_ ? fleet_->policy().call(rest) : "ERR not in the fleet now\n";
  });
  replies_.add("FLEET", [this](const std::string&) {
    return fleet_ ? fleet_->members() : "ERR not in the fleet now\n";
  });
  replies_.add_figures([this] { return fleet_ ? fleet_->figures() : std::string(); });
}

void Relay::listen() {
  clients_.emplace(
      io_, config_.listen, config_.inherited, Clients::Limits{client_limit(), config_.memory_bytes / 4},
      [this](Handed handed, Clients::Answer answer) { put(std::move(handed), std::move(answer)); },
      [this] { return busy_line(Clients::kMostRequest); });
  if (config_.inherited) await_successor();
  listening_(clients_->address());
}

// What the log has of the relay's own state: levels now, and counts since the line before.
void Relay::report() {
  report_timer_.expires_after(std::chrono::microseconds(kReport));
  report_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const Upstream::Broken broken = upstream_.broken();
    const auto text = [](size_t value) { return std::to_string(value); };
    log_info("status",
             "status: clients " + text(clients_->open()) + ", held " + text(custody_.held().size()) +
                 ", calls " + text(upstream_.out()) + ", idle connections " + text(upstream_.idle()) +
                 ", notices " + text(custody_.notices().size()) + ", journal " +
                 text(custody_.journal().live_bytes()) + " bytes; " + custody_.figures().since_last() +
                 "; connections reset: fresh " + text(broken.fresh) + ", kept " + text(broken.kept) +
                 " after " + std::to_string(broken.least_idle / kMs) + " ms idle or more",
             {{"clients", clients_->open()},
              {"held", custody_.held().size()},
              {"calls", upstream_.out()},
              {"notices", custody_.notices().size()},
              {"journal_bytes", custody_.journal().live_bytes()}});
    waits_.sweep(steady_now());
    report();
  });
}

void Relay::put(Handed handed, Clients::Answer answer) {
  if (share_.ids.contains(handed.id)) return answer("+OK");  // a predecessor holds it
  if (shut() && !custody_.number_of(handed.id)) return answer(fenced_line());
  const auto put = custody_.put(std::move(handed));
  if (const auto* line = std::get_if<std::string>(&put)) return answer(*line);
  pending_.push_back({std::get<uint64_t>(put), std::move(answer)});
}

void Relay::told(const HostList& list) {
  auto change = directory_.apply(list);
  if (!change) return;
  happened(std::move(*change));
  for (const auto& [handle, host] : directory_.hosts()) {
    custody_.journal().remember(kHost + host.id, host.member.listing == Listing::kGone ? "" : host.text);
  }
  custody_.journal().remember(Journal::kRevision, std::to_string(directory_.revision()));
}

Lane Relay::lane_of(const Member& member) const {
  const auto& kinds = config_.settings.kinds;
  const bool apart = member.kind < static_cast<int>(kinds.size()) && kinds[member.kind].apart;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

// The last look before a call's first byte. While its connection came up the host may have been drained, its
// destination may have told another call to wait, or the message may be over.
bool Relay::may_start(const Call& call) {
  Custody::Held* held = custody_.find(call.id);
  const ListedHost* host = directory_.find(call.endpoint);
  const Time now = steady_now();
  if (held == nullptr || !directory_.active(call.endpoint)) return false;
  if (now > call.start_by || held->handed.budget.over(now)) return false;
  if (waits_.until(lane_of(host->member)) > now) return false;
  return custody_.sends(*held, call.attempt, host->member.zone);
}

void Relay::ended(const AttemptEnded& end, bool began) {
  const bool never = end.outcome == Outcome::kFull || end.outcome == Outcome::kConnectFailed ||
                     end.outcome == Outcome::kMoot;
  const ListedHost* host = directory_.find(end.endpoint);
  if (end.wait > 0 && host != nullptr) waits_.tell(lane_of(host->member), steady_now() + end.wait);
  if (Custody::Held* held = custody_.find(end.id)) {
    held->out = false;
    if (end.final) {
      custody_.finish(end.id, {}, Reason::kTime, end.outcome == Outcome::kOk);
    } else {
      returned_.push_back(end.id);
      if (began && never) custody_.journal().never_ran(held->handed.id, end.attempt);
    }
  }
  happened(end);
}

void Relay::happened(Event event) {
  events_.push_back(std::move(event));
  if (step_posted_) return;
  step_posted_ = true;
  boost::asio::post(io_, [this] { step(); });
}

void Relay::step() {
  step_posted_ = false;
  std::vector<Event> events;
  events.swap(events_);
  std::vector<Action> actions;
  policy_.step(steady_now(), events, actions);
  answer_pending(actions);
  for (const Action& action : actions) carry_out(action);
  // What was given up on just now ended in its attempt; the others wait for another.
  for (const uint64_t number : std::exchange(returned_, {})) {
    Custody::Held* held = custody_.find(number);
    if (held != nullptr && !held->out) custody_.enter(*held, Stage::kWait);
  }
  arm();
  if (handing_) pass_on();
}

void Relay::answer_pending(const std::vector<Action>& actions) {
  std::map<uint64_t, const Action*> turned_away;
  if (!pending_.empty()) {
    for (const Action& action : actions) {
      if (const auto* refuse = std::get_if<Refuse>(&action)) {
        turned_away[refuse->id] = &action;
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        turned_away[fail->id] = &action;
      }
    }
  }
  std::vector<Pending> pending;
  pending.swap(pending_);
  for (const Pending& item : pending) {
    if (custody_.find(item.number) == nullptr) continue;
    const auto away = turned_away.find(item.number);
    const Action* turned = away == turned_away.end() ? nullptr : away->second;
    item.answer(custody_.decided(item.number, turned, turned == nullptr && shut()));
  }
}

void Relay::carry_out(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    Custody::Held* held = custody_.find(send->id);
    const ListedHost* host = directory_.find(send->endpoint);
    if (held == nullptr || host == nullptr) {  // given back in this very turn for want of room
      AttemptEnded moot;
      moot.id = send->id;
      moot.endpoint = send->endpoint;
      moot.outcome = Outcome::kMoot;
      moot.final = true;
      return happened(std::move(moot));
    }
    Call call;
    call.id = send->id;
    call.endpoint = send->endpoint;
    held->out = true;
    call.attempt = held->attempts++;
    call.address = host->address;
    call.call_id = held->handed.id;
    call.key = held->handed.key;
    call.body = held->handed.body;
    call.timeout = send->timeout;
    call.start_by = send->start_by;
    call.budget = held->handed.budget;
    custody_.enter(*held, Stage::kConnect);
    upstream_.call(std::move(call));
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    if (const Custody::Held* held = custody_.find(refuse->id)) {
      custody_.finish(refuse->id, Notice{held->handed.id, true, refuse->retry_after}, refuse->reason);
    }
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    if (const Custody::Held* held = custody_.find(fail->id)) {
      custody_.finish(fail->id, Notice{held->handed.id, false, 0});
    }
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    upstream_.cancel(cancel->id, cancel->attempt);
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    const ListedHost* host = directory_.find(probe->endpoint);
    if (host != nullptr) upstream_.probe(probe->endpoint, host->address);
  } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
    upstream_.close_idle(close->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    wakes_.insert(timer->at);
  } else if (const auto* memory = std::get_if<Remember>(&action)) {
    remember(memory->memory);
  } else if (const auto* avoided = std::get_if<Avoided>(&action)) {
    avoided_ = avoided->endpoints;
  } else if (const auto* log = std::get_if<Log>(&action)) {
    log_info("module", log->text);
  }
}

void Relay::arm() {
  if (wakes_.empty()) return;
  wake_timer_.expires_at(at_time(*wakes_.begin()));
  wake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    while (!wakes_.empty() && *wakes_.begin() <= steady_now()) {
      happened(TimerFired{static_cast<uint64_t>(*wakes_.begin())});
      wakes_.erase(wakes_.begin());
    }
    arm();
  });
}

// All of the file or nothing of it. Where this process listens stays as it is until it is started again.
void Relay::reload() {
  Config next;
  try {
    next = load_config(config_.path, config_.state);
    if (const std::string key = missing_key(config_, next); !key.empty()) {
      throw std::invalid_argument(key + " is missing");
    }
    if (config_.fleet && policy_of(next) != policy_of(config_)) {
      throw std::invalid_argument("its policy is not the fleet's: that is changed by POLICY PROPOSE");
    }
  } catch (const std::exception& fault) {
    custody_.figures().reloaded(false);
    log_event(LogLevel::kWarning, "config_kept",
              std::string("configuration is kept as it was: ") + fault.what(), {{"reason", fault.what()}});
    return;
  }
  custody_.figures().reloaded(true);
  take(std::move(next));
  log_info("config_taken", "configuration is taken: " + std::to_string(custody_.classes()) + " classes",
           {{"classes", custody_.classes()}});
}

void Relay::take(Config next) {
  const bool moved = next.discovery != config_.discovery;
  next.listen = config_.listen;
  next.inherited = config_.inherited;
  next.operator_address = config_.operator_address;
  if (!config_.fleet) next.fleet.reset();  // begins with the next start
  if (next.fleet) next.fleet->bind = config_.fleet->bind;
  config_ = std::move(next);
  custody_.retune(config_.settings);
  if (fleet_) fleet_->retune(config_);
  upstream_.retune(upstream_limits(config_), config_.report_fields);
  watch_.rename(config_.names);
  apply_share();
  told(renamed_list());
  if (moved) {
    watch_.move(config_.discovery);
    custody_.notices().move(config_.discovery);
  }
}

bool Relay::shut() const { return config_.fleet && !(fleet_ && fleet_->policy().open()); }

std::string Relay::fenced_line() {
  if (!fleet_) return "-BUSY";
  fleet_->policy().turned_away();
  return busy_line(config_.fleet->term);
}

// The list as it is known, read with the names of the settings as they are now.
HostList Relay::renamed_list() const {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [handle, host] : directory_.hosts()) {
    if (host.member.listing != Listing::kGone) members.push_back(nlohmann::json::parse(host.text));
  }
  return parse_list({{"revision", directory_.revision()}, {"complete", true}, {"members", members}},
                    config_.names);
}

void Relay::stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  if (handing_) return;
  if (fleet_) fleet_->leave();
  happened(Closing{stopping_since_ + kLastCall});
  wait_for_end();
}

void Relay::wait_for_end() {
  const bool stopping = stopping_since_ != 0;
  if (!stopping && !handing_) return;  // the successor is gone: there is more to do
  const Time age = stopping ? steady_now() - stopping_since_ : 0;
  if (age >= kServeOn && !closed_) {
    closed_ = true;
    if (clients_) clients_->finish();
  }
  if (handing_) tell_share();
  const bool idle =
      custody_.held().empty() && custody_.notices().empty() && (!clients_ || clients_->open() == 0);
  if (age >= kLastCall || (closed_ && idle)) return io_.stop();
  stop_timer_.expires_after(std::chrono::microseconds(kStopPoll));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) wait_for_end();
  });
}

// To a client whose request is not read for want of memory (there is room again when peers that do not go on
// with theirs are closed), or that is turned away at a shut door.
std::string Relay::busy_line(Time within) {
  const Settings& settings = config_.settings;
  const Time most = std::min(settings.max_retry_after, within);
  if (!settings.retry_after_heard || most < kMs) return "-BUSY";
  return "-BUSY " + std::to_string(std::uniform_int_distribution<Time>(most / 2, most)(random_) / kMs);
}

size_t Relay::client_limit() const {
  const size_t most = most_clients(config_);
  return most - std::min(most, share_.clients);
}

}  // namespace firspool::relay
