#include "relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

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
  const size_t own = kOwnDescriptors + (config.operator_address ? Operator::kDescriptors : 0);
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

std::map<std::string, std::shared_ptr<const MessageRules>> rules_by_name(const Settings& settings) {
  std::map<std::string, std::shared_ptr<const MessageRules>> out;
  for (auto& rules : message_rules(settings)) out[rules->name] = std::move(rules);
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
      rules_(rules_by_name(config.settings)),
      standing_(take_places(config.state)),
      journal_(std::move(standing_.own), file_limit()),
      policy_(config.settings, config.seed),
      figures_(config.settings.classes),
      random_(config.seed),
      wake_timer_(io),
      stop_timer_(io),
      report_timer_(io),
      notices_(io, config.discovery, [this](const std::string& id) { journal_.done(id); }),
      upstream_(
          io, upstream_limits(config), config.report_fields,
          [this](const Call& call) { return may_start(call); }, [this](const Call&) { figures_.attempt(); },
          [this](const AttemptEnded& end, bool began) { ended(end, began); },
          [this](const ProbeEnded& end) { happened(end); }),
      watch_(
          io, config.discovery, config.names, AskTimes(config.settings, config.seed),
          [this, known = config.known.revision] { return std::max(known, directory_.revision()); },
          [this](const HostList& list) { told(list); }, [this] { open(); }),
      listening_(std::move(listening)),
      open_timer_(io),
      peer_timer_(io) {
  if (config.operator_address) {
    operator_.emplace(io, *config.operator_address, [this](const std::string& call) { return reply(call); });
  }
  waiting_ = journal_.recovered();
  if (standing_.left) adopt(*std::exchange(standing_.left, {}));
  told(config_.known);
  recall(journal_.remembered());
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
  journal_.remember(kDestination + std::to_string(memory.destination), fact.dump());
}

// Sites without tenants name none.
int Relay::tenant_of(const std::string& name) const {
  const auto& tenants = config_.settings.tenants;
  if (tenants.empty()) return 0;
  const auto it = std::ranges::find(tenants, name, &TenantSettings::name);
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

// Only now messages are taken on or resumed: what discovery had to tell at once has been heard.
void Relay::open() {
  if (clients_ || stopping_since_ != 0) return;
  if (standing_.predecessor) return succeed();
  serve();
}

void Relay::serve() {
  resume(std::exchange(waiting_, {}));
  listen();
  report();
}

void Relay::listen() {
  clients_.emplace(
      io_, config_.listen, config_.inherited, Clients::Limits{client_limit(), config_.memory_bytes / 4},
      [this](Handed handed, Clients::Answer answer) { put(std::move(handed), std::move(answer)); },
      [this] { return busy_line(); });
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
             "status: clients " + text(clients_->open()) + ", held " + text(held_.size()) + ", calls " +
                 text(upstream_.out()) + ", idle connections " + text(upstream_.idle()) + ", notices " +
                 text(notices_.size()) + ", journal " + text(journal_.live_bytes()) + " bytes; " +
                 figures_.since_last() + "; connections reset: fresh " + text(broken.fresh) + ", kept " +
                 text(broken.kept) + " after " + std::to_string(broken.least_idle / kMs) + " ms idle or more",
             {{"clients", clients_->open()},
              {"held", held_.size()},
              {"calls", upstream_.out()},
              {"notices", notices_.size()},
              {"journal_bytes", journal_.live_bytes()}});
    std::erase_if(waits_, [](const auto& wait) { return wait.second.until <= steady_now(); });
    report();
  });
}

// Messages from before a restart are the module's to decide on, like any other.
void Relay::resume(const std::vector<Recovered>& entries, bool pause) {
  for (const Recovered& entry : entries) {
    if (entry.owed) {
      notices_.add(*entry.owed);
      continue;
    }
    const uint64_t number = ++last_number_;
    Held& held = held_[number];
    held.handed = entry.message;
    held.attempts = entry.attempts;
    held.since = steady_now();
    held.stage = entry.attempts > 0 ? Stage::kWait : Stage::kQueue;
    numbers_[entry.message.id] = number;
    Arrival in;
    in.id = number;
    in.rules = entry.message.rules;
    if (const auto known = rules_.find(entry.message.message_class); !in.rules && known != rules_.end()) {
      in.rules = held.handed.rules = known->second;
    }
    if (!in.rules) {  // nothing is known of what it allows
      finish(number, Notice{entry.message.id, false, 0});
      continue;
    }
    in.tenant = std::max(0, tenant_of(entry.message.tenant));
    in.due = held.handed.budget.due();
    in.destination = entry.message.destination;
    in.attempts = entry.attempts;
    in.pause = pause;
    if (!entry.unsettled.empty()) {
      const auto& [sent, zone] = entry.unsettled.begin()->second;
      in.ran = true;
      in.ran_sent = sent;
      in.ran_zone = zone;
    }
    happened(in);
  }
}

void Relay::put(Handed handed, Clients::Answer answer) {
  if (numbers_.contains(handed.id) || share_.ids.contains(handed.id)) {
    return answer("+OK");  // sent once more: it is held already
  }
  const auto rules = rules_.find(handed.message_class);
  if (rules == rules_.end()) return answer("-ERR unknown class");
  const int tenant = tenant_of(handed.tenant);
  if (tenant < 0) return answer("-ERR unknown tenant");
  const uint64_t number = ++last_number_;
  Arrival in;
  in.id = number;
  in.rules = handed.rules = rules->second;
  in.tenant = tenant;
  in.due = handed.budget.due();
  in.destination = handed.destination;
  in.room = journal_.has_room(handed);
  numbers_[handed.id] = number;
  held_[number] = {std::move(handed), 0, false, false, Stage::kQueue, steady_now()};
  pending_.push_back({number, std::move(answer)});
  happened(in);
}

void Relay::told(const HostList& list) {
  auto change = directory_.apply(list);
  if (!change) return;
  happened(std::move(*change));
  for (const auto& [handle, host] : directory_.hosts()) {
    journal_.remember(kHost + host.id, host.member.listing == Listing::kGone ? "" : host.text);
  }
  journal_.remember(Journal::kRevision, std::to_string(directory_.revision()));
}

std::pair<int, Endpoint> Relay::lane_of(const Member& member) const {
  const auto& kinds = config_.settings.kinds;
  const bool apart = member.kind < static_cast<int>(kinds.size()) && kinds[member.kind].apart;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

// The last look before a call's first byte. While its connection came up the host may have been drained, its
// destination may have told another call to wait, or the message may be over.
bool Relay::may_start(const Call& call) {
  const auto held = held_.find(call.id);
  const ListedHost* host = directory_.find(call.endpoint);
  const Time now = steady_now();
  if (held == held_.end() || !directory_.active(call.endpoint)) return false;
  if (now > call.start_by || held->second.handed.budget.over(now)) return false;
  const auto wait = waits_.find(lane_of(host->member));
  if (wait != waits_.end() && wait->second.until > now) return false;
  if (!journal_.attempt(held->second.handed.id, call.attempt, host->member.zone)) return false;
  enter(held->second, Stage::kAnswer);
  return true;
}

// What the operator asks, with whole lines for a reply.
std::string Relay::reply(const std::string& call) const {
  if (call == "STATUS") {
    const bool serving = clients_ && stopping_since_ == 0 && !handing_;
    return serving ? "OK serving\n" : "ERR not serving\n";
  }
  if (call != "METRICS") return "ERR unknown call\n";
  const auto& hosts = directory_.hosts();
  const auto listed = std::count_if(hosts.begin(), hosts.end(), [](const auto& entry) {
    return entry.second.member.listing != Listing::kGone;
  });
  Figures::Levels levels;
  levels.in_flight = held_.size();
  levels.known = static_cast<size_t>(listed);
  levels.excluded = avoided_;
  levels.clients = clients_ ? clients_->open() : 0;
  levels.calls = upstream_.out();
  levels.notices = notices_.size();
  levels.oldest_notice = notices_.oldest();
  levels.journal = journal_.live_bytes();
  std::map<int, size_t> queues;
  for (const auto& [number, held] : held_) {
    if (held.out) continue;
    ++levels.queue;
    levels.deepest = std::max(levels.deepest, ++queues[held.handed.destination]);
    levels.oldest_queue = std::max(levels.oldest_queue, steady_now() - held.since);
  }
  return "OK\n" + figures_.text(levels) + "END\n";
}

void Relay::ended(const AttemptEnded& end, bool began) {
  const bool never = end.outcome == Outcome::kFull || end.outcome == Outcome::kConnectFailed ||
                     end.outcome == Outcome::kMoot;
  const auto held = held_.find(end.id);
  if (held != held_.end()) held->second.out = false;
  const ListedHost* host = directory_.find(end.endpoint);
  if (end.wait > 0 && host != nullptr) wait_told(lane_of(host->member), steady_now() + end.wait);
  if (held != held_.end()) {
    if (end.final) {
      finish(end.id, {}, Reason::kTime, end.outcome == Outcome::kOk);
    } else {
      returned_.push_back(end.id);
      if (began && never) journal_.never_ran(held->second.handed.id, end.attempt);
    }
  }
  happened(end);
}

void Relay::wait_told(const std::pair<int, Endpoint>& lane, Time until) {
  const Time now = steady_now();
  Wait& wait = waits_[lane];
  if (wait.until <= now) wait.told = now;
  wait.until = std::max(wait.until, until);
}

// Where the message's time goes from now on; what it spent until now is counted. Of the time before the first
// attempt, a told wait's part is no queue's.
void Relay::enter(Held& held, Stage next) {
  const Time now = steady_now();
  Time spent = now - held.since;
  const auto wait = waits_.find({held.handed.destination, Endpoint{}});
  if (held.stage == Stage::kQueue && wait != waits_.end()) {
    const Time told = std::min(now, wait->second.until) - std::max(held.since, wait->second.told);
    figures_.spent(Stage::kWait, std::max<Time>(0, told));
    spent -= std::max<Time>(0, told);
  }
  figures_.spent(held.stage, spent);
  held.stage = next;
  held.since = now;
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
    const auto held = held_.find(number);
    if (held != held_.end() && !held->second.out) enter(held->second, Stage::kWait);
  }
  arm();
  if (handing_) pass_on();
}

// A message is the relay's from the moment that its record is written; only then its client is told, and only
// then it may be sent.
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
    const auto held = held_.find(item.number);
    if (held == held_.end()) continue;
    const Handed& handed = held->second.handed;
    std::string line = "+OK";
    if (const auto away = turned_away.find(item.number); away != turned_away.end()) {
      if (const auto* refuse = std::get_if<Refuse>(away->second)) {
        const Time ms = (refuse->retry_after + kMs - 1) / kMs;
        line = ms > 0 ? "-BUSY " + std::to_string(ms) : "-BUSY";
        figures_.refused(handed.message_class, Figures::Place::kDoor, refuse->reason);
      } else {
        line = "-ERR failed";
        figures_.failed(handed.message_class);
      }
    } else if (!journal_.accepted(handed)) {
      line = "-BUSY";  // it could not be written, though there seemed to be room
      figures_.refused(handed.message_class, Figures::Place::kDoor, Reason::kRoom);
      happened(Withdrawn{item.number});
    }
    if (line == "+OK") {
      figures_.taken();
    } else {
      numbers_.erase(handed.id);
      held_.erase(held);
    }
    item.answer(line);
  }
}

void Relay::carry_out(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    const auto held = held_.find(send->id);
    const ListedHost* host = directory_.find(send->endpoint);
    if (held == held_.end() || host == nullptr) {  // given back in this very turn for want of room
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
    held->second.out = true;
    call.attempt = held->second.attempts++;
    call.address = host->address;
    call.call_id = held->second.handed.id;
    call.key = held->second.handed.key;
    call.body = held->second.handed.body;
    call.timeout = send->timeout;
    call.start_by = send->start_by;
    call.budget = held->second.handed.budget;
    enter(held->second, Stage::kConnect);
    upstream_.call(std::move(call));
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    const auto held = held_.find(refuse->id);
    if (held != held_.end()) {
      finish(refuse->id, Notice{held->second.handed.id, true, refuse->retry_after}, refuse->reason);
    }
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    const auto held = held_.find(fail->id);
    if (held != held_.end()) finish(fail->id, Notice{held->second.handed.id, false, 0});
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

// The message is over; with a notice, that is still owed. Neither served nor noticed: a host said it is over.
void Relay::finish(uint64_t number, std::optional<Notice> notice, Reason reason, bool served) {
  const auto held = held_.find(number);
  const std::string& name = held->second.handed.message_class;
  figures_.ended(held->second.stage);
  if (served) {
    figures_.served(name);
  } else if (notice && notice->returned) {
    figures_.refused(name, Figures::Place::kHeld, reason);
  } else {
    figures_.failed(name);
  }
  if (notice) {
    journal_.owed(*notice);
    notices_.add(std::move(*notice));
  } else {
    journal_.done(held->second.handed.id);
  }
  forget(held);
}

// A class that left the settings goes with the last of its messages.
void Relay::forget(std::unordered_map<uint64_t, Held>::iterator held) {
  const std::string name = held->second.handed.message_class;
  enter(held->second, held->second.stage);
  numbers_.erase(held->second.handed.id);
  held_.erase(held);
  if (!rules_.contains(name)) forget_class(name);
}

void Relay::forget_class(const std::string& name) {
  const bool open = std::ranges::any_of(
      held_, [&](const auto& entry) { return entry.second.handed.message_class == name; });
  if (!open) figures_.forget(name);
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
  } catch (const std::exception& fault) {
    figures_.reloaded(false);
    log_event(LogLevel::kWarning, "config_kept",
              std::string("configuration is kept as it was: ") + fault.what(), {{"reason", fault.what()}});
    return;
  }
  figures_.reloaded(true);
  const bool moved = next.discovery != config_.discovery;
  next.listen = config_.listen;
  next.inherited = config_.inherited;
  next.operator_address = config_.operator_address;
  config_ = std::move(next);
  const auto old = std::exchange(rules_, rules_by_name(config_.settings));
  figures_.show(config_.settings.classes);
  for (const auto& [name, rules] : old) {
    if (!rules_.contains(name)) forget_class(name);
  }
  upstream_.retune(upstream_limits(config_), config_.report_fields);
  watch_.rename(config_.names);
  apply_share();
  told(renamed_list());
  if (moved) {
    watch_.move(config_.discovery);
    notices_.move(config_.discovery);
  }
  log_info("config_taken", "configuration is taken: " + std::to_string(rules_.size()) + " classes",
           {{"classes", rules_.size()}});
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
  const bool idle = held_.empty() && notices_.empty() && (!clients_ || clients_->open() == 0);
  if (age >= kLastCall || (closed_ && idle)) return io_.stop();
  stop_timer_.expires_after(std::chrono::microseconds(kStopPoll));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) wait_for_end();
  });
}

// To a client whose request is not read for want of memory: there is room again when peers that do not go on
// with theirs are closed.
std::string Relay::busy_line() {
  const Settings& settings = config_.settings;
  if (!settings.retry_after_heard || settings.max_retry_after < kMs) return "-BUSY";
  const Time most = std::min(settings.max_retry_after, Clients::kMostRequest);
  return "-BUSY " + std::to_string(std::uniform_int_distribution<Time>(most / 2, most)(random_) / kMs);
}

size_t Relay::client_limit() const {
  const size_t most = most_clients(config_);
  return most - std::min(most, share_.clients);
}

}  // namespace firspool::relay
