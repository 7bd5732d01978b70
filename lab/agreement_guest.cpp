#include "agreement_guest.h"

namespace umberhoist::lab {

using fleet::Agreement;

Agreement::Settings agreement_settings(int relay, int relays, int voters, Time period, Time term, int build) {
  Agreement::Settings s;
  s.cluster = "sim";
  s.name = member_name(relay);
  for (int i = 0; i < relays; ++i) s.relays.push_back(member_name(i));
  for (int i = 0; i < voters; ++i) s.voters.push_back(member_name(i));
  s.renewal_period = period;
  s.lease_duration = term;
  s.local_policy = "need=1 file";
  s.program_version = std::to_string(build);
  s.check_policy = [build](const std::string& text) { return cannot_hold(text, build); };
  return s;
}

AgreementGuest::AgreementGuest(int relay, Agreement::Settings settings, Folder& folder, PolicyAudit& audit,
                               Clock clock, uint64_t seed)
    : relay_(relay),
      folder_(folder),
      audit_(audit),
      clock_(clock),
      agreement_(std::move(settings), folder.file, seed) {}

void AgreementGuest::start(Time now) {
  agreement_.start(clock_.local(now));
  // What is on disk is what it holds, as the relay reads it at its start.
  if (const auto v = agreement_.view(clock_.local(now)); v.version > 0) {
    audit_.adopted(now, relay_, v.version, v.id, agreement_.policy_text(), 1 << 20);
  }
  carry_out(now);
}

void AgreementGuest::on_datagram(Time now, const std::string& from, std::string_view bytes) {
  if (dead_) return;
  agreement_.on_datagram(clock_.local(now), from, bytes);
  carry_out(now);
}

void AgreementGuest::on_timer(Time now) {
  if (dead_) return;
  agreement_.on_timer(clock_.local(now));
  carry_out(now);
}

Time AgreementGuest::next_wakeup() const {
  const Time at = dead_ ? fleet::kNever : agreement_.next_wakeup();
  return at == fleet::kNever ? at : clock_.real(at) + 1;
}

void AgreementGuest::carry_out(Time now) {
  for (const Agreement::Output& output : agreement_.take_outputs()) {
    const bool dies = dies_after == 0;
    if (dies_after > 0) --dies_after;
    if (const auto* write = std::get_if<Agreement::Write>(&output)) {
      ++folder_.writes;
      // A file that is replaced is renamed: the old one or the new one. One that grows may be torn.
      if (write->replace && !dies) folder_.file = write->bytes;
      if (!write->replace)
        folder_.file += dies ? write->bytes.substr(0, write->bytes.size() / 2) : write->bytes;
    } else if (dies) {
    } else if (const auto* send = std::get_if<Agreement::Send>(&output)) {
      this->send(send->to, send->bytes);
    } else if (const auto* adopt = std::get_if<Agreement::ApplyPolicy>(&output)) {
      audit_.adopted(now, relay_, adopt->version, adopt->id, adopt->text, folder_.build);
    } else if (const auto* door = std::get_if<Agreement::Admission>(&output)) {
      audit_.door(now, relay_, door->until == 0 ? 0 : clock_.real(door->until), folder_.build);
    }
    if (!dies) continue;
    dead_ = true;
    audit_.crashed(relay_);
    if (on_death) on_death();
    return;
  }
}

}  // namespace umberhoist::lab
