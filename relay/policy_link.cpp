#include "policy_link.h"

#include <algorithm>
#include <filesystem>

#include "budget.h"
#include "config_policy.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using fleet::Agreement;

constexpr auto kAgain = std::chrono::seconds(1);

std::string path_in(const std::string& state) {
  return (std::filesystem::path(state) / "policy.records").string();
}

}  // namespace

std::optional<std::string> PolicyLink::stored(const Config& config) {
  if (!config.fleet) return {};
  return Agreement::stored_policy(read_file(path_in(config.state)));
}

Config under_stored_policy(Config config) {
  const auto policy = PolicyLink::stored(config);
  if (!policy || *policy == policy_of(config)) return config;
  try {
    return with_policy(config, *policy);
  } catch (const std::exception&) {
    return config;  // the agreement finds so too, says why and keeps the door shut
  }
}

PolicyLink::PolicyLink(boost::asio::io_context& io, const Config& config, std::string program, Host host)
    : io_(io),
      fleet_(*config.fleet),
      name_(config.name),
      program_(std::move(program)),
      own_(policy_of(config)),
      host_(std::move(host)),
      file_(path_in(config.state)),
      wire_(io, *config.fleet, config.name, fleet::kMaxAgreementMessageBytes,
            [this](const std::string& from, std::string_view bytes) {
              if (!agreement_) return;
              agreement_->on_datagram(lease_now(), from, bytes);
              step();
            }),
      timer_(io),
      random_(config.seed ^ static_cast<uint64_t>(lease_now())) {
  begin();
}

Agreement::Settings PolicyLink::settings() const {
  Agreement::Settings s;
  s.cluster = fleet_.cluster;
  s.name = name_;
  for (const auto& peer : fleet_.peers) {
    s.relays.push_back(peer.name);
    if (peer.voter) s.voters.push_back(peer.name);
  }
  s.renewal_period = fleet_.period;
  s.lease_duration = fleet_.term;
  s.local_policy = own_;
  s.program_version = program_;
  s.check_policy = host_.check;
  s.piggyback = host_.rider;
  return s;
}

void PolicyLink::begin() {
  ended_.clear();
  agreement_.emplace(settings(), file_.read(), random_());
  // What another process of this name has adopted since this one read its folder.
  if (const std::string held = agreement_->policy_text();
      !held.empty() && held != own_ && host_.check(held).empty()) {
    own_ = held;
    host_.adopt(held);
  }
  agreement_->start(lease_now());
  if (leaving_) agreement_->leave(lease_now());
  step();
}

void PolicyLink::end(const std::string& why) {
  agreement_.reset();
  until_ = 0;
  ended_ = why;
  log_event(LogLevel::kError, "policy_ended",
            "policy: " + why + "; takes on nothing new until it can be written", {{"reason", why}});
  timer_.expires_after(kAgain);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) begin();
  });
}

// What a call on it has left is carried out in its order. One of these may call on it again.
void PolicyLink::step() {
  if (stepping_) return;
  stepping_ = true;
  while (agreement_) {
    const std::vector<Agreement::Output> outputs = agreement_->take_outputs();
    if (outputs.empty()) break;
    for (const Agreement::Output& output : outputs) {
      if (const auto* write = std::get_if<Agreement::Write>(&output)) {
        if (write->replace ? file_.replace(write->bytes) : file_.append(write->bytes)) continue;
        stepping_ = false;
        return end("the record of the fleet's policy cannot be written");
      }
      if (const auto* send = std::get_if<Agreement::Send>(&output)) {
        wire_.send(send->to, send->bytes);
      } else if (const auto* adopt = std::get_if<Agreement::ApplyPolicy>(&output)) {
        log_info("policy_adopted",
                 "policy: version " + std::to_string(adopt->version) + " (" + one_line(adopt->id) +
                     ") holds from now on",
                 {{"version", adopt->version}, {"id", adopt->id}});
        own_ = adopt->text;
        host_.adopt(adopt->text);
      } else if (const auto* door = std::get_if<Agreement::Admission>(&output)) {
        until_ = door->until;
      } else if (const auto* word = std::get_if<Agreement::LogLine>(&output)) {
        log_info(word->event, "policy: " + one_line(word->text));
      }
    }
  }
  stepping_ = false;
  arm();
}

void PolicyLink::arm() {
  if (!agreement_ || agreement_->next_wakeup() == fleet::kNever) return;
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, agreement_->next_wakeup() - lease_now())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || !agreement_) return;
    agreement_->on_timer(lease_now());
    step();
  });
}

bool PolicyLink::open() const {
  if (fleet_.isolated_serves && !leaving_) return true;
  return until_ > 0 && lease_now() < until_;
}

std::string PolicyLink::closed() const {
  if (open()) return "";
  return one_line(agreement_ ? agreement_->view(lease_now()).closed_reason : ended_);
}

void PolicyLink::retune(const Config& config) {
  fleet_ = *config.fleet;
  wire_.retune(fleet_);
  if (!agreement_) return;
  const Agreement::Settings now = settings();
  agreement_->configure(lease_now(), now.relays, now.voters);
  step();
}

void PolicyLink::leave() {
  leaving_ = true;
  if (!agreement_) return;
  agreement_->leave(lease_now());
  step();
}

}  // namespace firspool::relay
