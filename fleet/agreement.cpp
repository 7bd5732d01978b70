// What goes in and out: between relays, time, the settings. agreement_relay.cpp, leadership.cpp,
// agreement_founding.cpp, agreement_staff.cpp and agreement_file.cpp have the parts.
#include "agreement.h"

#include <algorithm>

#include "agreement_parts.h"

namespace umberhoist::fleet {
namespace {

constexpr uint64_t kAgreementProtocol = 1;
constexpr size_t kAppendRest = 64 * 1024;

}  // namespace

using nlohmann::json;

Agreement::Agreement(Settings settings, std::string_view file, uint64_t seed)
    : settings_(std::move(settings)), chance_(seed, 23) {
  try {
    load(file);
  } catch (const DecodeError&) {
    broken_ = "a record does not read";
  }
  life_ = draw();
}

void Agreement::start(Time now) {
  if (!broken_.empty()) {
    word("policy_broken",
         "the record of the fleet's policy cannot be used: " + broken_ + "; this relay stays out");
    return;
  }
  if (nonce_ == 0) {
    nonce_ = draw();
    compacted();
  } else if (torn_) {
    compacted();
  }
  if (settings_.plant == Plant::kLeaseKept && kept_lease_ > now)
    out_.push_back(Door{lease_until_ = kept_lease_});
  if (held_.version > 0) cannot_ = clipped(settings_.check(held_.text), kMostReason);
  if (founding_ && stored_.term > 0) start_log(now, std::exchange(stored_, {}));
  renew_at_ = now;
  woke(now);
}

Time Agreement::next() const {
  if (!broken_.empty()) return kNever;
  return std::min(renew_at_, raft_ ? raft_->next() : kNever);
}

void Agreement::woke(Time now) {
  if (!broken_.empty()) return;
  if (raft_) {
    raft_->woke(now);
    if (!raft_->failed().empty()) {
      broken_ = raft_->failed();
      word("policy_broken", "the replicated log of the fleet's policy has failed: " + broken_);
      shut("its log has failed");
      return;
    }
  }
  if (now >= renew_at_) {
    if (!founding_ && std::ranges::find(settings_.voters, settings_.name) != settings_.voters.end()) {
      found(now);
      for (const std::string& name : settings_.voters) {
        if (!founding_ && name != settings_.name) send(name, "fresh", nonce_);
      }
    }
    renew(now);
    renew_at_ = now + (change_ ? settings_.period / 2 : settings_.period);
  }
  if (lease_until_ > 0 && now > lease_until_) {
    shut(heard_ < 0 ? "no leader was heard yet"
                    : "not heard for " + ms_text(settings_.term) + " that version " +
                          std::to_string(held_.version) + " is the newest");
  }
  if (leadership_) leadership_->lead(now);
  if (appended_ > 4 * held_.text.size() + kAppendRest) compacted();
}

void Agreement::send(const std::string& to, const char* kind, json body) {
  out_.push_back(Send{to, to_cbor({kAgreementProtocol, settings_.cluster, kind, founding_ ? founding_->id : 0,
                                   std::move(body)})});
}

void Agreement::carry(const std::string& to, json message) { send(to, "raft", std::move(message)); }

uint64_t Agreement::own_id() const { return server_id(settings_.name, nonce_); }

uint64_t Agreement::draw() { return std::max<uint64_t>(1, (uint64_t{chance_()} << 32) | chance_()); }

std::vector<std::string> Agreement::contacts() const {
  std::set<std::string> out(settings_.voters.begin(), settings_.voters.end());
  out.insert(told_voters_.begin(), told_voters_.end());
  out.erase(settings_.name);
  return {out.begin(), out.end()};
}

void Agreement::received(Time now, const std::string& from, std::string_view bytes) {
  if (!broken_.empty()) return;
  try {
    const json m = from_cbor(bytes);
    require(decode_uint(at(m, 0)) == kAgreementProtocol &&
            decode_text(at(m, 1), kMaxNameSize) == settings_.cluster);
    const std::string kind = decode_text(at(m, 2), kMaxNameSize);
    const uint64_t founding = decode_uint(at(m, 3));
    const json& body = at(m, 4);
    if (kind == "fresh") {
      const uint64_t nonce = decode_uint(body);
      if (founding_ && !founding_->voters.empty()) {
        send(from, "founded", founding_->record());
      } else if (!founding_) {
        fresh_[from] = {nonce, now};
        found(now);
      }
    } else if (kind == "founded") {
      founded(now, Founding::of(body));
    } else if (kind == "raft") {
      if (!founding_ || founding_->id != founding) return;
      if (!raft_) start_log(now, {});
      raft_->received(now, body);
    } else if (kind == "renew") {
      Renew r = Renew::of(body);
      if (founding != 0 && founding_ && founding != founding_->id) return;
      require(r.via.empty() ? r.origin == from : r.via == from);
      if (std::ranges::find(settings_.names, r.origin) == settings_.names.end()) return;
      if (leads()) {
        const Grant g = leadership_->answer(now, r);
        send(from, "grant", g.packed());
      } else if (const std::string leader = raft_ ? raft_->leader() : "";
                 r.via.empty() && !leader.empty() && leader != settings_.name && leader != r.origin) {
        r.via = settings_.name;
        send(leader, "renew", r.packed());
        send(from, "elsewhere", leader);
      }
    } else if (kind == "grant") {
      Grant g = Grant::of(body);
      g.founding = founding;
      if (g.to != settings_.name) {
        if (g.via == settings_.name) send(g.to, "grant", body);
      } else {
        through_ = from;
        granted(now, g);
      }
    } else if (kind == "elsewhere") {
      const std::string leader = decode_text(body, kMaxNameSize);
      const bool known = leader == through_;
      if (heard_ < 0 || now - heard_ > 2 * settings_.period) through_ = leader;
      if (!known && leader != settings_.name) send(leader, "renew", make_renew(now).packed());
    } else {
      throw DecodeError{};
    }
  } catch (const DecodeError&) {
    ++unreadable_;
  }
  if (leadership_) leadership_->lead(now);
}

void Agreement::configure(Time now, std::vector<std::string> names, std::vector<std::string> voters) {
  if (leadership_) leadership_->configure(now, names);
  settings_.names = std::move(names);
  settings_.voters = std::move(voters);
}

void Agreement::leave(Time now) {
  if (!broken_.empty() || leaving_) return;
  leaving_ = true;
  shut("it leaves");
  renew(now);
  if (raft_) raft_->transfer();
}

}  // namespace umberhoist::fleet
