#include "directory.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "log.h"

namespace firspool::relay {
namespace {

constexpr size_t kMostGone = 128;  // known still, for what their last calls answer

int index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

tcp::endpoint parse_address(const std::string& text) {
  const size_t colon = text.rfind(':');
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  if (colon == std::string::npos || error || std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
    throw std::invalid_argument("'" + text + "' is not an address with a port");
  }
  return {address, port};
}

namespace {

// What the protocol has for an entry that may be sent to. Throws std::exception where that is not there.
void read_entry(const nlohmann::json& entry, const ListNames& names, ListedHost& host) {
  host.address = parse_address(entry.at("host_port").get<std::string>());
  const auto phase = entry.at("phase").get<std::string>();
  host.member.zone = index_of(names.zones, entry.value("locality", ""));
  host.member.kind = index_of(names.kinds, entry.value("flavor", ""));
  host.member.destination = entry.at("cell").get<int>();
  host.member.weight = entry.value("size", 0.0);
  host.member.listing = phase == "active"    ? Listing::kReady
                        : phase == "leaving" ? Listing::kDraining
                                             : Listing::kGone;
}

}  // namespace

HostList parse_list(const nlohmann::json& json, const ListNames& names) {
  HostList out;
  out.revision = json.at("revision").get<int64_t>();
  out.complete = json.at("complete").get<bool>();
  for (const auto& entry : json.at("members")) {
    ListedHost host;
    try {
      host.id = entry.at("id").get<std::string>();
    } catch (const std::exception&) {
      if (!out.complete) throw;
      continue;
    }
    try {
      read_entry(entry, names, host);
    } catch (const std::exception& fault) {
      host.readable = false;
      host.member.listing = Listing::kGone;
      log_event(LogLevel::kWarning, "entry_unreadable",
                "discovery: the entry of " + host.id + " cannot be read: " + fault.what(), {{"id", host.id}});
    }
    host.text = entry.dump();
    out.hosts.push_back(std::move(host));
  }
  return out;
}

std::optional<MembersChanged> Directory::apply(const HostList& list) {
  if (list.revision < revision_ || (list.revision == revision_ && !list.complete)) return {};
  return take(list, false);
}

std::optional<MembersChanged> Directory::apply_told(const HostList& list) {
  const bool restarted = list.complete && list.revision < revision_;
  return restarted ? take(list, true) : apply(list);
}

std::optional<MembersChanged> Directory::take(const HostList& list, bool restarted) {
  revision_ = list.revision;
  std::set<Endpoint> leaving;
  for (auto& [handle, host] : hosts_) {
    if (restarted && host.member.listing != Listing::kReady) leaving.insert(handle);
    if (!list.complete) continue;
    if (std::exchange(host.member.listing, Listing::kGone) != Listing::kGone) gone_.push_back(handle);
  }
  auto members = std::make_shared<std::vector<Member>>();
  for (const ListedHost& listed : list.hosts) {
    const Endpoint handle = handle_of(listed, *members);
    const auto [place, fresh] = hosts_.try_emplace(handle);
    ListedHost& host = place->second;
    const bool was_gone = !fresh && host.member.listing == Listing::kGone;
    if (listed.readable || fresh) host = listed;
    host.member.listing = listed.member.listing;
    if (leaving.contains(handle) && host.member.listing == Listing::kReady) {
      host.member.listing = Listing::kDraining;
    }
    host.member.endpoint = handle;
    if (host.member.listing == Listing::kGone && !was_gone) gone_.push_back(handle);
    members->push_back(host.member);
  }
  forget();
  MembersChanged out;
  out.form = list.complete ? MembersChanged::Form::kFull : MembersChanged::Form::kDelta;
  out.members = std::move(members);
  return out;
}

// Of an id in another cell than before, the old handle's end is told first.
Endpoint Directory::handle_of(const ListedHost& listed, std::vector<Member>& members) {
  const auto known = handles_.find(listed.id);
  if (known != handles_.end()) {
    ListedHost& before = hosts_.at(known->second);
    const bool moved =
        listed.readable && before.readable && before.member.destination != listed.member.destination;
    if (!moved) return known->second;
    if (std::exchange(before.member.listing, Listing::kGone) != Listing::kGone)
      gone_.push_back(known->second);
    before.id.clear();
    members.push_back(before.member);
  }
  return handles_[listed.id] = Endpoint{++last_handle_, 0};
}

// Hosts are replaced all day long: those that left longest ago make room. One that was listed again stays,
// and is entered anew when it leaves.
void Directory::forget() {
  while (gone_.size() > kMostGone) {
    const auto host = hosts_.find(gone_.front());
    gone_.pop_front();
    if (host == hosts_.end() || host->second.member.listing != Listing::kGone) continue;
    handles_.erase(host->second.id);
    hosts_.erase(host);
  }
}

const ListedHost* Directory::find(const Endpoint& endpoint) const {
  const auto it = hosts_.find(endpoint);
  return it == hosts_.end() ? nullptr : &it->second;
}

bool Directory::active(const Endpoint& endpoint) const {
  const ListedHost* host = find(endpoint);
  return host != nullptr && host->member.listing == Listing::kReady;
}

}  // namespace firspool::relay
