#include "policy_link.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "budget.h"
#include "config_policy.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using fleet::Agreement;

constexpr auto kAgain = std::chrono::seconds(1);
constexpr size_t kMostFile = 1024 * 1024;  // of a file that staff names

std::string path_in(const std::string& state) {
  return (std::filesystem::path(state) / "policy.records").string();
}

// It goes on while the machine is suspended, unlike the steady clock.
Time lease_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<Time>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

std::string slurp(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::string hex(uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

// On one line, whatever a name or reason holds.
std::string one_line(std::string text) {
  std::ranges::replace_if(
      text, [](unsigned char c) { return c < 0x20; }, ' ');
  return text;
}

}  // namespace

// ---- The file ----

PolicyLink::File::~File() {
  if (fd_ >= 0) ::close(fd_);
}

std::string PolicyLink::File::read() const { return slurp(path_); }

bool PolicyLink::File::open() {
  if (fd_ >= 0) return true;
  fd_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  struct stat now {};
  if (fd_ < 0 || ::fstat(fd_, &now) != 0) return false;
  size_ = static_cast<size_t>(now.st_size);
  return true;
}

bool PolicyLink::File::append(const std::string& bytes) {
  if (!open()) return false;
  const ssize_t written = ::write(fd_, bytes.data(), bytes.size());
  if (written == static_cast<ssize_t>(bytes.size())) {
    size_ += bytes.size();
    return true;
  }
  if (written > 0 && ::ftruncate(fd_, static_cast<off_t>(size_)) != 0) {
    ::close(std::exchange(fd_, -1));  // its end is torn: whoever reads it next cuts that off
  }
  return false;
}

bool PolicyLink::File::replace(const std::string& bytes) {
  const std::string fresh = path_ + ".new";
  std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
  out << bytes;
  out.close();
  std::error_code failed;
  if (out) std::filesystem::rename(fresh, path_, failed);
  if (!out || failed) {
    std::filesystem::remove(fresh, failed);
    return false;
  }
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  return open();
}

std::optional<std::string> PolicyLink::stored(const Config& config) {
  if (!config.fleet) return {};
  return Agreement::stored_policy(slurp(path_in(config.state)));
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

// ---- The agreement ----

PolicyLink::PolicyLink(boost::asio::io_context& io, const Config& config, std::string program, Host host)
    : io_(io),
      fleet_(*config.fleet),
      name_(config.name),
      program_(std::move(program)),
      own_(policy_of(config)),
      host_(std::move(host)),
      file_(path_in(config.state)),
      wire_(io, *config.fleet, config.name, fleet::kMostMessage,
            [this](const std::string& from, std::string_view bytes) {
              if (!agreement_) return;
              agreement_->received(lease_now(), from, bytes);
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
    s.names.push_back(peer.name);
    if (peer.voter) s.voters.push_back(peer.name);
  }
  s.period = fleet_.period;
  s.term = fleet_.term;
  s.own = own_;
  s.program = program_;
  s.check = host_.check;
  return s;
}

void PolicyLink::begin() {
  ended_.clear();
  agreement_.emplace(settings(), file_.read(), random_());
  // What another process of this name has adopted since this one read its folder.
  if (const std::string held = agreement_->text();
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
    const std::vector<Agreement::Output> outputs = agreement_->take();
    if (outputs.empty()) break;
    for (const Agreement::Output& output : outputs) {
      if (const auto* write = std::get_if<Agreement::Write>(&output)) {
        if (write->whole ? file_.replace(write->bytes) : file_.append(write->bytes)) continue;
        stepping_ = false;
        return end("the record of the fleet's policy cannot be written");
      }
      if (const auto* send = std::get_if<Agreement::Send>(&output)) {
        wire_.send(send->to, send->bytes);
      } else if (const auto* adopt = std::get_if<Agreement::Adopt>(&output)) {
        log_info("policy_adopted",
                 "policy: version " + std::to_string(adopt->version) + " (" + one_line(adopt->id) +
                     ") holds from now on",
                 {{"version", adopt->version}, {"id", adopt->id}});
        own_ = adopt->text;
        host_.adopt(adopt->text);
      } else if (const auto* door = std::get_if<Agreement::Door>(&output)) {
        until_ = door->until;
      } else if (const auto* word = std::get_if<Agreement::Word>(&output)) {
        log_info(word->event, "policy: " + one_line(word->text));
      }
    }
  }
  stepping_ = false;
  arm();
}

void PolicyLink::arm() {
  if (!agreement_ || agreement_->next() == fleet::kNever) return;
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, agreement_->next() - lease_now())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || !agreement_) return;
    agreement_->woke(lease_now());
    step();
  });
}

bool PolicyLink::open() const {
  if (fleet_.isolated_serves && !leaving_) return true;
  return until_ > 0 && lease_now() < until_;
}

std::string PolicyLink::closed() const {
  if (open()) return "";
  return one_line(agreement_ ? agreement_->view(lease_now()).closed : ended_);
}

void PolicyLink::retune(const Config& config) {
  fleet_ = *config.fleet;
  wire_.retune(fleet_);
  if (!agreement_) return;
  const Agreement::Settings now = settings();
  agreement_->configure(lease_now(), now.names, now.voters);
  step();
}

void PolicyLink::leave() {
  leaving_ = true;
  if (!agreement_) return;
  agreement_->leave(lease_now());
  step();
}

// ---- Staff's calls ----

std::string PolicyLink::call(const std::string& rest) {
  std::istringstream in(rest);
  std::string word, id, other;
  in >> word >> id;
  std::getline(in >> std::ws, other);
  if (word == "STATUS") return status();
  if (word == "HISTORY") return history();
  if (!agreement_) return "ERR " + ended_ + "\n";
  std::string no;
  if (word == "TEXT") {
    const auto text = agreement_->text_of_version(std::strtoull(id.c_str(), nullptr, 10));
    return text ? "OK\n" + *text + "\nEND\n" : "ERR this relay does not keep version " + one_line(id) + "\n";
  }
  if (word == "PROPOSE") {
    no = propose(id, other);
  } else if (word == "ABORT") {
    no = agreement_->abort(lease_now(), id);
  } else if (word == "REPLACE") {
    no = agreement_->replace(lease_now(), id, other.substr(0, other.find(' ')));
  } else {
    return "ERR unknown call\n";
  }
  step();
  return no.empty() ? "OK handed in\n" : "ERR " + one_line(no) + "\n";
}

// Why the file at `path` is not handed in; empty: it is.
std::string PolicyLink::propose(const std::string& id, const std::string& path) {
  if (id.empty() || path.empty()) return "POLICY PROPOSE ID PATH";
  std::error_code failed;
  const auto size = std::filesystem::file_size(path, failed);
  if (failed) return "cannot read " + path;
  if (size > kMostFile) return path + " has more than 1 MiB";
  std::string policy;
  try {
    policy = policy_in(slurp(path));
    if (std::string no = host_.fault(policy); !no.empty()) return no;
  } catch (const std::exception& fault) {
    return fault.what();
  }
  const auto wall = static_cast<uint64_t>(std::max<Time>(0, instant_now().wall / 1000));
  return agreement_->propose(lease_now(), id, policy, wall);
}

std::string PolicyLink::status() const {
  if (!agreement_) return "ERR " + ended_ + "\n";
  const Time now = lease_now();
  const Agreement::View v = agreement_->view(now);
  std::string out = "OK\nversion " + std::to_string(v.version) +
                    " id=" + (v.id.empty() ? "-" : one_line(v.id)) + " digest=" + hex(v.digest) + "\n";
  out += open() ? "door open lease_ms=" + std::to_string(std::max<Time>(0, until_ - now) / 1000) + "\n"
                : "door shut " + closed() + "\n";
  out += "leader " + (v.leader.empty() ? "-" : v.leader) +
         " heard_ms=" + (v.heard < 0 ? "-" : std::to_string((now - v.heard) / 1000)) +
         " newest=" + std::to_string(v.newest) + " term=" + std::to_string(v.term) + "\n";
  if (!v.asking.empty()) out += "asking " + one_line(v.asking) + "\n";
  if (v.change) {
    out += "change " + one_line(v.change->id) + " by=" + v.change->by +
           " base=" + std::to_string(v.change->base) + "\n";
  }
  for (const auto& [name, why] : v.waiting) out += "waiting " + name + " " + one_line(why) + "\n";
  return out + "END\n";
}

std::string PolicyLink::history() const {
  if (!agreement_) return "ERR " + ended_ + "\n";
  std::string out = "OK\n";
  for (const auto& o : agreement_->view(lease_now()).outcomes) {
    out += one_line(o.id) + " " + fleet::kOutcomeNames[static_cast<size_t>(o.what)] +
           (o.version > 0 ? " version=" + std::to_string(o.version) : "") + " by=" + o.by +
           " at_ms=" + std::to_string(o.wall_ms) + (o.reason.empty() ? "" : " " + one_line(o.reason)) + "\n";
  }
  return out + "END\n";
}

std::string PolicyLink::figures() const {
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "policy_" + name + " " + std::to_string(value) + "\n";
  };
  const Time now = lease_now();
  const Agreement::View v = agreement_ ? agreement_->view(now) : Agreement::View{};
  line("version", v.version);
  line("newest", v.newest);
  line("open", open() ? 1 : 0);
  line("lease_ms", static_cast<uint64_t>(std::max<Time>(0, until_ - now) / 1000));
  line("leads", agreement_ && agreement_->leads() ? 1 : 0);
  line("change_under_way", v.change ? 1 : 0);
  line("waiting_for", v.waiting.size());
  line("turned_away_total", turned_away_);
  line("connections", wire_.connections());
  line("messages_sent_total", wire_.sent());
  line("bytes_sent_total", wire_.sent_bytes());
  line("messages_dropped_total", wire_.dropped());
  line("messages_unreadable_total", agreement_ ? agreement_->unreadable() : 0);
  line("file_bytes", file_.size());
  return out;
}

}  // namespace firspool::relay
