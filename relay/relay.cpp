#include "relay.h"

#include <algorithm>
#include <span>

#include "descriptors.h"
#include "disk_faults.h"
#include "known.h"
#include "log.h"

namespace firspool::relay {
namespace {

constexpr Time kMs = 1000;
constexpr Time kServeOn = 500 * kMs;    // after SIGTERM: new connections still come for a while
constexpr Time kLastCall = 3500 * kMs;  // SIGKILL follows 3.7 s after SIGTERM at the soonest
constexpr Time kLastTurn = 100 * kMs;
constexpr Time kStopPoll = 50 * kMs;
constexpr Time kReport = 10 * 1000 * kMs;
constexpr Time kFirstWord = 300 * kMs;  // discovery answers at once, unless it is down

std::string given_up_lines(const Clients::GivenUp& counts) {
  const auto line = [](const std::string& name, uint64_t value) {
    return "svc_clients_" + name + "_total " + std::to_string(value) + "\n";
  };
  return line("quiet_closed", counts.quiet) + line("part_closed", counts.part) + line("gone", counts.gone);
}

}  // namespace

Relay::Relay(boost::asio::io_context& io, const Config& config,
             std::function<void(const tcp::endpoint&)> listening)
    : io_(io),
      config_(config),
      standing_(take_places(config.state)),
      custody_(
          io, std::move(standing_.own), file_limit(), config.settings, config.access, config.discovery,
          waits_, [this](Event event) { happened(std::move(event)); }, config.feeds ? kEndRoom : 0),
      policy_(config.settings, config.seed),
      random_(config.seed),
      wake_timer_(io),
      stop_timer_(io),
      report_timer_(io),
      reload_timer_(io),
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
          [this](const HostList& list) { members_changed(directory_.apply_told(list)); }, [this] { open(); }),
      listening_(std::move(listening)),
      open_timer_(io),
      peer_timer_(io),
      passed_timer_(io) {
  if (config.feeds) custody_.tell(outcomes_.emplace(config, custody_.journal().place()));
  share_budgets();
  if (!standing_.predecessor) join_fleet();
  if (config.operator_address) {
    operator_.emplace(io, *config.operator_address,
                      [this](const std::string& call) { return replies_.to(call); });
  }
  waiting_ = custody_.journal().recovered();
  if (standing_.left && !adopt(*standing_.left)) {
    throw DiskFault(kFileUnwritable, standing_.left->journal(), "cannot be taken over", EIO);
  }
  standing_.left.reset();
  show_access();
  if (!budgets_) custody_.divide_limits(config_.settings.relays);
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
  const Known known = read_known(facts, config_.names);
  if (!known.list.hosts.empty()) told(known.list);
  for (const DestinationSnapshot& memory : known.memories) happened(memory);
}

void Relay::told(const HostList& list) { members_changed(directory_.apply(list)); }

void Relay::members_changed(std::optional<MembersChanged> change) {
  if (!change) return;
  remember(custody_.journal(), directory_, *change);
  happened(std::move(*change));
}

// Only now messages are taken on or resumed: what discovery had to tell at once has been heard.
void Relay::open() {
  if (clients_ || stopping_since_ != 0) return;
  if (standing_.predecessor) return succeed();
  serve();
}

// Where the system does not give it what it needs now, it goes on where it stopped a little later.
void Relay::serve() {
  if (clients_ || stopping_since_ != 0) return;
  try {
    join_fleet();
    custody_.resume(std::exchange(waiting_, {}));
    if (budgets_) budgets_->retune(config_);  // with the limits that these came under
    listen();
  } catch (const SystemFault& fault) {
    if (!fault.may_pass()) throw;
    log_event(LogLevel::kWarning, "serves_later", fault.line(), {{"reason", fault.code()}});
    return after_pause(open_timer_, [this] { serve(); });
  }
  report();
}

void Relay::listen() {
  clients_.emplace(
      io_, config_.listen, config_.inherited, Clients::Limits{client_limit(), config_.memory_bytes / 4},
      [this](Handed handed, Clients::Answer answer) { put(std::move(handed), std::move(answer)); },
      [this] { return busy_line(Clients::kMostRequest); });
  for (const char* command :
       config_.feeds ? std::span(FeedLink::kCommands) : std::span<const char* const>()) {
    clients_->add(command, [this](const Clients::Words& words, Time, Clients::Answer answer) {
      if (!feeds_) throw std::invalid_argument("this relay hands over to another process");
      feeds_->command(words, std::move(answer));
    });
  }
  replies_.add_figures("clients", [this] { return given_up_lines(clients_->given_up()); });
  if (config_.inherited) {
    handover_.emplace(io_, config_.state, custody_.journal().place(),
                      [this](std::shared_ptr<Link> link) { asked(std::move(link)); });
  }
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

void Relay::stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  if (handing_) return;
  if (fleet_) fleet_->leave();
  happened(ShuttingDown{stopping_since_ + kLastCall});
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
  if (handing_) {
    tell_share();
    end_overdue_passed();
  }
  const bool idle =
      custody_.held().empty() && custody_.notices().empty() && (!clients_ || clients_->open() == 0);
  if (age >= kLastCall || (closed_ && idle)) {
    if (!stopping) stopping_since_ = steady_now();  // for good: a successor that is lost now changes nothing
    return io_.stop();
  }
  stop_timer_.expires_after(std::chrono::microseconds(kStopPoll));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) wait_for_end();
  });
}

// Requests that were read in the last turn, or whose step has not run yet, are answered before the end.
void Relay::finish_last_turn() {
  if (clients_) clients_->end_reading();
  const Time until = steady_now() + kLastTurn;
  io_.restart();
  while (steady_now() < until && io_.poll_one() > 0) continue;
}

// To a client whose request is not read for want of memory (there is room again when peers that do not go on
// with theirs are closed), or that is turned away at a shut door.
std::string Relay::busy_line(Time within) {
  const Settings& settings = config_.settings;
  const Time most = std::min(settings.max_retry_after, within);
  if (!settings.sends_retry_after || most < kMs) return "-BUSY";
  return "-BUSY " + std::to_string(std::uniform_int_distribution<Time>(most / 2, most)(random_) / kMs);
}

size_t Relay::client_limit() const {
  const size_t most = most_clients(config_);
  return most - std::min(most, share_.clients);
}

}  // namespace firspool::relay
