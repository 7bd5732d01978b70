#include "fleet_link.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "listening.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using Error = boost::system::error_code;

constexpr Time kLinesIn = 10'000'000;  // so many lines at most in this time
constexpr int kMostLines = 50;
constexpr int kAtOnce = 64;  // datagrams read before others have their turn

}  // namespace

fleet::Membership::Settings FleetLink::membership_settings(const Config& config, std::string version) {
  fleet::Membership::Settings out;
  out.cluster = config.fleet->cluster;
  out.name = config.name;
  for (const auto& peer : config.fleet->peers) out.names.push_back(peer.name);
  out.period = config.fleet->period;
  out.version = std::move(version);
  out.started_ms = static_cast<uint64_t>(std::max<Time>(0, instant_now().wall / 1000));
  out.incarnation = IncarnationFile(config.state).stored();
  return out;
}

FleetLink::FleetLink(boost::asio::io_context& io, const Config& config, std::string program, Counted counted,
                     PolicyLink::Host host)
    : io_(io),
      settings_(*config.fleet),
      counted_(std::move(counted)),
      socket_(io),
      timer_(io),
      incarnation_(config.state),
      view_(membership_settings(config, program), config.seed),
      count_(static_cast<int>(settings_.peers.size()), settings_.term) {
  const udp::endpoint at(settings_.bind.address(), settings_.bind.port());
  try {
    socket_.open(udp::v4());
    socket_.bind(at);
  } catch (const boost::system::system_error& fault) {
    throw AddressFault(at, "cannot be bound, has another process this name?", fault.code());
  }
  policy_.emplace(io, config, program, std::move(host));
  socket_.non_blocking(true);
  learn_addresses();
  view_.start(steady_now());
  receive();
  step();
}

FleetLink::~FleetLink() = default;

void FleetLink::learn_addresses() {
  addresses_.clear();
  names_.clear();
  for (const auto& peer : settings_.peers) {
    const udp::endpoint at(peer.address.address(), peer.address.port());
    addresses_[peer.name] = at;
    names_[at] = peer.name;
  }
}

void FleetLink::retune(const Config& config) {
  policy_->retune(config);
  settings_ = *config.fleet;
  learn_addresses();
  std::vector<std::string> names;
  for (const auto& peer : settings_.peers) names.push_back(peer.name);
  if (names.size() != view_.names().size() ||
      !std::is_permutation(names.begin(), names.end(), view_.names().begin())) {
    count_.set_configured(static_cast<int>(names.size()));
    view_.set_members(std::move(names));
    counted_(count_.value());
  }
  step();
}

void FleetLink::leave() {
  view_.leave();
  policy_->leave();
  step();
}

// A datagram's sender is who its address is configured for. One that is nobody's is dropped before it is
// read.
void FleetLink::receive() {
  socket_.async_wait(udp::socket::wait_read, [this](const Error& error) {
    if (error) return;
    for (int i = 0; i < kAtOnce; ++i) {
      Error failed;
      const size_t count = socket_.receive_from(boost::asio::buffer(buffer_), sender_, 0, failed);
      if (failed == boost::asio::error::would_block) break;
      if (failed) continue;  // word of an earlier datagram that nobody took
      const auto from = names_.find(sender_);
      if (from == names_.end()) {
        ++unknown_address_;
        continue;
      }
      view_.on_datagram(steady_now(), from->second, {buffer_.data(), count});
    }
    step();
    receive();
  });
}

void FleetLink::step() {
  incarnation_.keep(view_.incarnation());  // before anything of a new incarnation is said
  for (const fleet::Datagram& one : view_.take_datagrams()) {
    const auto to = addresses_.find(one.to);
    if (to == addresses_.end()) continue;
    Error failed;
    socket_.send_to(boost::asio::buffer(one.bytes), to->second, 0, failed);
    if (failed) {
      ++unsent_;
      continue;
    }
    ++sent_;
    sent_bytes_ += one.bytes.size();
  }
  for (const auto& event : view_.take_events()) tell(event);
  if (count_.update(steady_now(), static_cast<int>(view_.alive_count()))) counted_(count_.value());
  arm();
}

void FleetLink::arm() {
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(view_.next_wakeup())));
  timer_.async_wait([this](const Error& error) {
    if (error) return;
    view_.on_timer(steady_now());
    step();
  });
}

void FleetLink::tell(const fleet::Membership::Event& event) {
  using What = fleet::Membership::Event::Type;
  const Time now = steady_now();
  if (now - lines_since_ > kLinesIn) {
    if (lines_left_out_ > 0) {
      log_info("fleet_lines", "fleet: " + std::to_string(lines_left_out_) + " lines were left out",
               {{"lines", lines_left_out_}});
    }
    lines_since_ = now;
    lines_ = lines_left_out_ = 0;
  }
  if (++lines_ > kMostLines) {
    ++lines_left_out_;
    return;
  }
  static constexpr std::pair<const char*, const char*> kWords[] = {{"fleet_joined", "has joined"},
                                                                   {"fleet_suspect", "does not answer"},
                                                                   {"fleet_refuted", "answers again"},
                                                                   {"fleet_left", "has left"},
                                                                   {"fleet_dead", "is gone"},
                                                                   {"fleet_disagrees", ""},
                                                                   {"fleet_agrees", ""}};
  const auto& [name, words] = kWords[static_cast<size_t>(event.type)];
  if (event.type == What::kViewsDiverged || event.type == What::kViewsConverged) {
    log_event(event.type == What::kViewsConverged ? LogLevel::kInfo : LogLevel::kWarning, name,
              event.type == What::kViewsConverged
                  ? "fleet: all hear one view again"
                  : "fleet: others hold another view for longer than it takes to settle");
    return;
  }
  log_info(name,
           "fleet: " + event.name + " " + words +
               (event.suspected_by.empty() ? "" : ", says " + event.suspected_by),
           {{"peer", event.name}, {"by", event.suspected_by}});
}

std::vector<std::string> FleetLink::live_peers() const {
  std::vector<std::string> out;
  for (const std::string& name : view_.names()) {
    if (name != view_.own_name() && gone_since(name) == 0) out.push_back(name);
  }
  return out;
}

Time FleetLink::gone_since(const std::string& name) const {
  const auto* r = view_.find(name);
  const bool gone = r != nullptr && (r->state == fleet::State::kDead || r->state == fleet::State::kLeft);
  return gone ? std::max<Time>(1, r->state_since) : 0;
}

std::string FleetLink::members() const {
  std::string out = "OK\n";
  const Time now = steady_now();
  for (const std::string& name : view_.names()) {
    const auto* r = view_.find(name);
    std::string doubters;
    for (const std::string& by : r->suspected_by) doubters += (doubters.empty() ? "" : ",") + by;
    out += name + " " + fleet::kStateNames[static_cast<size_t>(r->state)] + " since_ms=" +
           std::to_string(r->state == fleet::State::kUnknown ? 0 : (now - r->state_since) / 1000) +
           " incarnation=" + std::to_string(r->incarnation) +
           " version=" + (r->version.empty() ? "-" : r->version) +
           " started_ms=" + std::to_string(r->started_ms) +
           " doubted_by=" + (doubters.empty() ? "-" : doubters) + "\n";
  }
  return out + "END\n";
}

std::string FleetLink::figures() const {
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "fleet_" + name + " " + std::to_string(value) + "\n";
  };
  for (size_t s = 0; s < fleet::kStateNames.size(); ++s) {
    line(std::string("members{state=\"") + fleet::kStateNames[s] + "\"}",
         view_.count(static_cast<fleet::State>(s)));
  }
  line("view_digest", view_.digest());
  line("view_disagrees_ms",
       view_.views_diverged() ? static_cast<uint64_t>((steady_now() - view_.diverged_since()) / 1000) : 0);
  line("incarnation", view_.incarnation());
  line("health", static_cast<uint64_t>(view_.health_score()));
  line("counts_for", static_cast<uint64_t>(count_.value()));
  line("datagrams_sent_total", sent_);
  line("bytes_sent_total", sent_bytes_);
  line("datagrams_unsent_total", unsent_);
  const auto& dropped = view_.dropped();
  for (size_t f = 0; f < fleet::kPacketErrorNames.size(); ++f) {
    line(std::string("datagrams_dropped_total{reason=\"") + fleet::kPacketErrorNames[f] + "\"}",
         dropped.unreadable[f]);
  }
  line("datagrams_dropped_total{reason=\"unknown_address\"}", unknown_address_);
  line("datagrams_dropped_total{reason=\"stranger\"}", dropped.unknown_sender);
  line("datagrams_dropped_total{reason=\"other_name\"}", dropped.name_mismatch);
  line("datagrams_dropped_total{reason=\"itself\"}", dropped.own_name_claimed);
  return out + policy_->figures();
}

}  // namespace firspool::relay
