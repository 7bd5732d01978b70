#include "access_link.h"

#include <algorithm>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "../fleet/decoding.h"
#include "../fleet/records.h"
#include "disk_faults.h"
#include "lasting_file.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace access = umberhoist::access;
namespace fleet = umberhoist::fleet;

std::string path_in(const std::string& state) {
  return (std::filesystem::path(state) / "access.parts").string();
}

}  // namespace

AccessLink::AccessLink(boost::asio::io_context& io, const Config& config, const Custody& custody)
    : custody_(custody),
      path_(path_in(config.state)),
      spread_(config.name, config.seed ^ static_cast<uint64_t>(instant_now().wall)),
      whole_(!config.fleet),
      timer_(io) {
  retune(config);
  restore();
}

// Rules may come at any time, also while the folder's files cannot be read for a moment: this ends nothing.
void AccessLink::restore() {
  if (restored_) return;
  try {
    const fleet::Records file = fleet::read_records(read_file(path_));
    restored_ = true;
    for (const std::string& body : file.bodies) {
      const nlohmann::json whole = fleet::from_cbor(body);
      const auto wall = static_cast<Time>(fleet::decode_uint(fleet::at(whole, 0)));
      spread_.restore(steady_now(), fleet::decode_bytes(fleet::at(whole, 1)), instant_now().wall - wall);
    }
  } catch (const fleet::DecodeError&) {
    log_event(LogLevel::kWarning, "access_parts_unreadable",
              "access: what was known of other relays' hits does not read; they will tell it again");
  } catch (const DiskFault& fault) {
    log_event(LogLevel::kWarning, "access_parts_unreadable", fault.line(), {{"reason", fault.code()}});
  }
}

size_t AccessLink::disk(const Config& config) {
  if (!config.fleet) return 0;
  std::error_code failed;
  return !config.access.empty() || std::filesystem::exists(path_in(config.state), failed)
             ? config.disk_bytes / 50
             : 0;
}

void AccessLink::retune(const Config& config) {
  most_ = config.disk_bytes / 100;
  described_ = access::describe(config.access);
  spread_.set_rules_in_force(custody_.customers().in_force());
}

void AccessLink::join(FleetLink& fleet) {
  fleet_ = &fleet;
  whole_ = false;
  joined_ = steady_now();
  heard_ = 0;
  exchanges_then_ = spread_.exchanges();
  fleet.wire().listen(kChannel,
                      [this](const std::string& from, std::string_view bytes) { heard(from, bytes); });
  spread_.start(steady_now());
  arm();
}

void AccessLink::leave() {
  if (fleet_ == nullptr) return;
  write();
  std::exchange(fleet_, nullptr)->wire().hush(kChannel);
  timer_.cancel();
}

void AccessLink::heard(const std::string& from, std::string_view bytes) {
  see_own();
  heard_ = steady_now();
  spread_.on_datagram(heard_, from, bytes);
  step();
}

void AccessLink::step() {
  for (const auto& message : spread_.take_datagrams())
    fleet_->wire().send(message.to, kChannel, message.bytes);
}

void AccessLink::arm() {
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, spread_.next_wakeup() - steady_now())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || fleet_ == nullptr) return;
    see_own();
    spread_.set_peers(fleet_->live_peers());
    spread_.on_timer(steady_now());
    step();
    if (steady_now() - written_ >= kWriteEvery) write();
    arm();
  });
}

// From the first hit on there are some.
void AccessLink::see_own() {
  const JournalHits& own = custody_.journal().hits();
  if (own.begun()) spread_.set_own(own.folder(), own.counts());
}

bool AccessLink::whole() {
  if (whole_ || fleet_ == nullptr || !restored_) return whole_;
  const Time now = steady_now();
  const std::vector<std::string> live = fleet_->live_peers();
  const auto& parts = spread_.origins(now);
  const bool anew = std::ranges::all_of(parts, [&](const auto& entry) {
    const auto& [origin, part] = entry;
    // An emptied folder's part is told by nobody anew: its relay counts under another number.
    const bool newer = std::ranges::any_of(parts, [&](const auto& other) {
      return other.first.relay == origin.relay && other.second.complete_as_of >= joined_;
    });
    return newer || std::ranges::find(live, origin.relay) == live.end();
  });
  whole_ = (spread_.exchanges() > exchanges_then_ && anew) || now - joined_ >= kWholeAtLast ||
           (heard_ == 0 && now - joined_ >= kAlone);
  return whole_;
}

void AccessLink::write() {
  written_ = steady_now();
  restore();
  if (!restored_) {  // what it holds is not lost yet
    ++unwritten_;
    return;
  }
  if (spread_.origins(written_).empty()) return;
  const std::string stored = spread_.serialize(written_, most_);
  const std::string body = fleet::to_cbor(
      {static_cast<uint64_t>(std::max<Time>(0, instant_now().wall)), fleet::encode_bytes(stored)});
  const std::string bytes = fleet::frame_record(body);
  if (bytes.size() > most_ || !LastingFile(path_).replace(bytes)) ++unwritten_;
}

}  // namespace firspool::relay
