#include "known.h"

#include <nlohmann/json.hpp>
#include <string>

#include "budget.h"

namespace firspool::relay {
namespace {

const std::string kHost = "host ";  // names of what is remembered
const std::string kDestination = "destination ";

void remember(Journal& journal, const ListedHost& host) {
  if (host.id.empty()) return;  // it moved to another cell, and is listed there
  journal.remember(kHost + host.id, host.member.listing == Listing::kGone ? "" : host.text);
}

}  // namespace

Known read_known(const std::map<std::string, std::string>& facts, const ListNames& names) {
  Known out;
  out.list.complete = true;
  const Instant now = instant_now();
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [name, value] : facts) {
    const nlohmann::json fact = nlohmann::json::parse(value);
    if (name == Journal::kRevision) out.list.revision = fact.get<int64_t>();
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
      out.memories.push_back({std::stoi(name.substr(kDestination.size())), fact.at("tokens").get<int>(),
                              steady("out_since"), steady("back_since"), fact.at("base").get<double>()});
    }
  }
  out.list.hosts =
      parse_list({{"revision", out.list.revision}, {"complete", true}, {"members", members}}, names).hosts;
  return out;
}

void remember(Journal& journal, const Directory& directory, const MembersChanged& change) {
  if (change.form == MembersChanged::Form::kFull) {
    for (const auto& [handle, host] : directory.hosts()) remember(journal, host);
  } else {
    for (const Member& member : *change.members) {
      if (const ListedHost* host = directory.find(member.endpoint)) remember(journal, *host);
    }
  }
  journal.remember(Journal::kRevision, std::to_string(directory.revision()));
}

void remember(Journal& journal, const DestinationSnapshot& memory) {
  const Instant now = instant_now();
  const auto wall = [&](Time t) { return t == 0 ? 0 : t + now.wall - now.steady; };
  const nlohmann::json fact = {{"tokens", memory.tokens},
                               {"out_since", wall(memory.outage_since)},
                               {"back_since", wall(memory.recovered_since)},
                               {"base", memory.served_rate},
                               {"clocks", {now.steady, now.wall, now.boot}}};
  journal.remember(kDestination + std::to_string(memory.destination), fact.dump());
}

HostList listed_again(const Directory& directory, const ListNames& names) {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [handle, host] : directory.hosts()) {
    if (host.member.listing != Listing::kGone) members.push_back(nlohmann::json::parse(host.text));
  }
  return parse_list({{"revision", directory.revision()}, {"complete", true}, {"members", members}}, names);
}

}  // namespace firspool::relay
