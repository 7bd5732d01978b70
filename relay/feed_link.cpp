#include "feed_link.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <random>

#include "log.h"

namespace firspool::relay {
namespace {

namespace feeds = umberhoist::feeds;

constexpr char kChannel = 'f';
constexpr auto kTick = std::chrono::seconds(1);

size_t count_of(const std::string& text) {
  size_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size() || out == 0) {
    throw std::invalid_argument("FEED.READ's last word is not a count above 0");
  }
  return out;
}

}  // namespace

std::string feed_line(const feeds::Service::Reply& reply) {
  if (const auto* fault = std::get_if<umberhoist::OperatorError>(&reply)) {
    return one_line(std::string("-FEED ") + fault->code() + " " + fault->where() + " " +
                    fault->description());
  }
  const auto& json = std::get<nlohmann::json>(reply);
  if (json.is_string()) return "+" + json.get<std::string>();
  const std::string text = json.dump();
  return "$" + std::to_string(text.size()) + "\r\n" + text;
}

FeedLink::FeedLink(boost::asio::io_context& io, const Config& config, FleetWire& wire, Custody& custody,
                   Outcomes& outcomes, Budget budget)
    : config_(config),
      wire_(wire),
      custody_(custody),
      outcomes_(outcomes),
      budget_(std::move(budget)),
      file_((std::filesystem::path(config.state) / "feeds.records").string()),
      timer_(io),
      tick_(io) {
  wire_.listen(kChannel, [this](const std::string& from, std::string_view bytes) {
    if (!service_) return;
    service_->received(steady_now(), from, bytes);
    step();
  });
  begin();
  tick();
}

FeedLink::~FeedLink() {
  wire_.hush(kChannel);
  if (service_) service_->close();
}

feeds::Service::Settings FeedLink::settings() const {
  feeds::Service::Settings out;
  out.cluster = config_.fleet->cluster;
  out.name = config_.name;
  for (const auto& peer : config_.fleet->peers) {
    out.relays.push_back(peer.name);
    if (peer.voter) out.voters.push_back(peer.name);
  }
  out.feeds = config_.feeds->feeds;
  out.batch = config_.feeds->batch;
  out.per_s = config_.feeds->catch_up_per_s / static_cast<double>(out.relays.size());
  return out;
}

void FeedLink::begin() {
  std::random_device chance;
  service_.emplace(settings(), file_.read(), (uint64_t{chance()} << 32) | chance(),
                   [this] { return outcomes_.logs(); });
  service_->start(steady_now());
  step();
}

void FeedLink::end() {
  log_event(LogLevel::kError, "feeds_ended",
            "feeds: the voter's records cannot be written; sessions here end until there is room");
  service_->close();
  service_.reset();
}

// What a call on it has left is carried out in its order. One of these may call on it again.
void FeedLink::step() {
  if (std::exchange(stepping_, true)) return;
  bool written = true;
  while (written) {
    const auto outputs = service_->take();
    if (outputs.empty()) break;
    for (const auto& output : outputs) {
      if (const auto* write = std::get_if<feeds::Register::Append>(&output)) {
        written = write->whole ? file_.replace(write->bytes) : file_.append(write->bytes);
        if (!written) break;
      } else {
        const auto& message = std::get<feeds::Register::Send>(output);
        wire_.send(message.to, kChannel, message.bytes);
      }
    }
  }
  stepping_ = false;
  if (!written) return end();
  arm();
}

void FeedLink::arm() {
  if (service_->next() == umberhoist::fleet::kNever) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(service_->next())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || !service_) return;
    service_->woke(steady_now());
    step();
  });
}

// What could not be written is tried again, and what is too old goes.
void FeedLink::tick() {
  tick_.expires_after(kTick);
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    custody_.catch_up();
    outcomes_.trim();
    if (!service_) begin();
    if (budget_ && service_) {
      const uint64_t given = service_->figures().outcomes;
      const uint64_t since = given - std::min(given, std::exchange(given_, given));
      service_->budget(budget_(static_cast<double>(since + service_->waiting() * config_.feeds->batch)));
      service_->woke(steady_now());
      step();
    }
    tick();
  });
}

void FeedLink::retune(const Config& config) {
  config_ = config;
  if (!service_) return;
  service_->configure(steady_now(), settings());
  step();
}

void FeedLink::command(const Clients::Words& words, Clients::Answer answer) {
  const auto done = [answer = std::move(answer)](const feeds::Service::Reply& reply) {
    answer(feed_line(reply));
  };
  const bool opens = words[0].size() == 9 && (words[0][5] == 'O' || words[0][5] == 'o');
  const bool reads = words[0].size() == 9 && !opens;
  if (words.size() != 3 && !(words.size() == 4 && (opens || reads))) {
    throw std::invalid_argument(
        "FEED.OPEN takes a customer, a subscription and perhaps a cursor, FEED.READ a session, "
        "a cursor and perhaps a count, FEED.ACK a session and a cursor");
  }
  if (!service_) {
    return done(umberhoist::OperatorError(feeds::kBusy, "relay " + config_.name,
                                          "cannot write its records of feeds"));
  }
  const Time now = steady_now();
  if (opens) {
    const auto shown = words.size() == 4 ? std::optional(words[3]) : std::nullopt;
    service_->open(now, {words[1], words[2]}, shown, done);
  } else if (reads) {
    service_->read(now, words[1], words[2], words.size() == 4 ? count_of(words[3]) : config_.feeds->batch,
                   done);
  } else {
    service_->ack(now, words[1], words[2], done);
  }
  step();
}

std::string FeedLink::call() const {
  if (!service_) return "ERR the voter's records of feeds cannot be written\n";
  std::string out = "OK\n";
  for (const feeds::OutcomeLog* log : outcomes_.logs()) {
    if (log->number() == 0) continue;
    out += "log " + text_of(feeds::Origin{config_.name, log->number()}) +
           " from=" + std::to_string(log->first()) + " to=" + std::to_string(log->last()) +
           " bytes=" + std::to_string(log->bytes()) + "\n";
  }
  const feeds::Register* voter = service_->voter();
  out += std::string("voter ") + (voter == nullptr ? "no" : voter->recovering() ? "recovers" : "yes") + "\n";
  const Time now = steady_now();
  for (const auto& [relay, since] : service_->missing()) {
    out += "missing " + relay + " since_ms=" + std::to_string((now - since) / 1000) + "\n";
  }
  for (const auto& [feed, regions] : config_.feeds->feeds) {
    // A session here knows best; else what this voter holds.
    const feeds::Session* session = service_->session_of(feed);
    uint64_t generation = session == nullptr ? 0 : session->ballot().generation;
    feeds::Positions remembered = session == nullptr ? feeds::Positions{} : session->remembered();
    if (session == nullptr && voter != nullptr) {
      if (const auto held = voter->held().find(feed); held != voter->held().end()) {
        generation = held->second.accepted.generation;
        remembered = held->second.positions;
      }
    }
    out += "feed " + one_line(text_of(feed)) + " generation=" + std::to_string(generation) +
           " session=" + (session == nullptr ? "-" : "here") + "\n";
    for (const auto& [origin, number] : remembered) {
      out += "remembered " + one_line(text_of(feed)) + " " + text_of(origin) + " " + std::to_string(number) +
             "\n";
    }
  }
  return out + "END\n";
}

std::string FeedLink::figures() const {
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "feed_" + name + " " + std::to_string(value) + "\n";
  };
  line("log_first", outcomes_.own().first());
  line("log_last", outcomes_.own().last());
  line("log_bytes", outcomes_.own().bytes());
  line("log_waiting", outcomes_.waiting());
  line("subscriptions", config_.feeds->feeds.size());
  line("records_bytes", file_.size());
  if (!service_) return out;
  const feeds::Service::Figures& f = service_->figures();
  line("sessions", service_->sessions());
  line("reads_waiting", service_->waiting());
  line("relays_missing", service_->missing().size());
  line("voter_recovers", service_->voter() != nullptr && service_->voter()->recovering() ? 1 : 0);
  line("opened_total", f.opened);
  line("batches_total", f.read);
  line("outcomes_given_total", f.outcomes);
  line("acknowledged_total", f.acknowledged);
  line("refused_total", f.refused);
  line("gaps_total", f.gaps);
  return out;
}

}  // namespace firspool::relay
