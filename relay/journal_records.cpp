#include "journal_records.h"

#include <boost/crc.hpp>
#include <cstring>
#include <memory>

#include "record_fields.h"

namespace firspool::relay {
namespace {

constexpr size_t kHeader = 8;  // length and checksum

enum Kind : char {
  kAccepted = 'A',
  kAttempt = 'T',
  kNeverRan = 'N',
  kOwed = 'O',
  kDone = 'D',
  kFact = 'F',
  kRestated = 'R',
  kDenied = 'H',
  kHits = 'C',
  kEnded = 'E',
};

uint32_t checksum(std::string_view bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

std::string framed(std::string_view payload) {
  const uint32_t head[2] = {static_cast<uint32_t>(payload.size()), checksum(payload)};
  char raw[kHeader];
  std::memcpy(raw, head, kHeader);
  return std::string(raw, kHeader).append(payload);
}

// The class may be gone from the settings by the time that the record is read.
void write_rules(RecordWriter& out, const MessageRules& rules) {
  out.number(rules.max_attempts).number(static_cast<int64_t>(rules.effect));
  out.number(static_cast<int64_t>(rules.key_scope)).number(rules.key_window).number(rules.in_order);
  out.number(rules.target).number(rules.time_to_live).real(rules.value).real(rules.late_value);
}

MessageRules read_rules(RecordReader& in, const std::string& name) {
  MessageRules out;
  out.name = name;
  out.max_attempts = static_cast<int>(in.number());
  out.effect = static_cast<Effect>(in.number());
  out.key_scope = static_cast<KeyScope>(in.number());
  out.key_window = in.number();
  out.in_order = in.number() != 0;
  out.target = in.number();
  out.time_to_live = in.number();
  out.value = in.real();
  out.late_value = in.real();
  return out;
}

}  // namespace

std::string record::accepted(const Handed& m, const Instant& now, uint64_t counted) {
  const Time due = m.budget.due();
  RecordWriter out(kAccepted, m.id);
  out.text(m.message_class).text(m.key).number(m.destination).number(now.wall + due - now.steady);
  out.text(m.body).text(m.tenant);
  write_rules(out, *m.rules);
  out.instant(now).number(due);
  const bool in_sequence = m.rules->in_order && m.sequence_key != 0;
  if (m.verdict || in_sequence) {
    out.text(m.verdict ? m.verdict->record : "").number(static_cast<int64_t>(m.verdict ? counted : 0));
  }
  if (in_sequence) out.number(static_cast<int64_t>(m.sequence_key));
  return framed(out.payload());
}

std::string record::attempt(const std::string& id, int number, int zone, const Instant& now) {
  return framed(
      RecordWriter(kAttempt, id).number(number).number(now.wall).number(zone).instant(now).payload());
}

std::string record::never_ran(const std::string& id, int number) {
  return framed(RecordWriter(kNeverRan, id).number(number).payload());
}

std::string record::owed(const Notice& notice, const Ended* ended) {
  RecordWriter out(kOwed, notice.id);
  out.number(notice.returned).number(notice.after);
  if (ended != nullptr) out.number(static_cast<int64_t>(ended->number)).text(ended->part);
  return framed(out.payload());
}

std::string record::done(const std::string& id, const Ended* ended) {
  RecordWriter out(kDone, id);
  if (ended != nullptr) out.number(static_cast<int64_t>(ended->number)).text(ended->part);
  return framed(out.payload());
}

std::string record::ended(const Ended& ended) {
  return framed(
      RecordWriter(kEnded, "").number(static_cast<int64_t>(ended.number)).text(ended.part).payload());
}

std::string record::fact(const std::string& name, const std::string& value) {
  return framed(RecordWriter(kFact, name).text(value).payload());
}

std::string record::restated(const std::string& id, const Instant& now, Time due) {
  return framed(RecordWriter(kRestated, id).instant(now).number(due).payload());
}

std::string record::denied(const umberhoist::access::Decision& verdict) {
  return framed(RecordWriter(kDenied, "").text(verdict.record).payload());
}

std::string record::hits(const JournalHits& totals) {
  return framed(RecordWriter(kHits, "").text(totals.packed()).payload());
}

std::string JournalContent::Entry::records_elsewhere() const {
  if (counted_at == 0) return records;
  uint32_t length = 0;
  std::memcpy(&length, records.data(), sizeof length);
  std::string first = records.substr(kHeader, length);
  first.replace(counted_at - kHeader, sizeof(uint64_t), sizeof(uint64_t), '\0');
  return framed(first) + records.substr(kHeader + length);
}

JournalContent::JournalContent(std::string_view bytes, const Instant& now) {
  while (bytes.size() - whole >= kHeader) {
    uint32_t head[2];
    std::memcpy(head, bytes.data() + whole, kHeader);
    if (head[0] > bytes.size() - whole - kHeader) break;
    const auto payload = bytes.substr(whole + kHeader, head[0]);
    if (payload.empty() || checksum(payload) != head[1]) break;
    apply(payload);
    whole += kHeader + head[0];
  }
  for (auto& [place, entry] : messages) tell_times(entry, now);
}

void JournalContent::apply(std::string_view record) {
  RecordReader in(record);
  const char kind = in.kind();
  const std::string id = in.text();
  if (kind == kFact) {
    facts[id] = in.text();
    if (facts[id].empty()) facts.erase(id);
    return;
  }
  if (kind == kDenied) return hits.denied(in.text());
  if (kind == kHits) return hits.totals(in.text());
  std::optional<Notice> notice;
  if (kind == kOwed) {
    notice = Notice{id, in.number() != 0, 0};
    notice->after = in.number();
  }
  // The outcome counts also where the message's other records are gone.
  if ((kind == kOwed || kind == kDone || kind == kEnded) && in.more()) {
    const auto number = static_cast<uint64_t>(in.number());
    ended.push_back({number, in.text()});
  }
  if (kind == kAccepted) {
    Recovered entry;
    entry.message.id = id;
    entry.message.message_class = in.text();
    entry.message.key = in.text();
    entry.message.destination = static_cast<int>(in.number());
    const Time due_by_wall = in.number();
    entry.message.body = in.text();
    if (in.more()) entry.message.tenant = in.text();  // records of earlier versions end here
    if (in.more()) {                                  // or here
      entry.message.rules = std::make_shared<const MessageRules>(read_rules(in, entry.message.message_class));
    }
    places_[id] = ++order_;
    Entry& fresh = messages[order_];
    if (in.more()) {  // or here
      fresh.told = in.instant();
      fresh.due = in.number();
      latest(fresh.told);
      if (in.more()) {  // or here, where no rules decided and it is of no sequence
        entry.verdict = in.text();
        if (!entry.verdict.empty()) fresh.counted_at = kHeader + record.size() - in.left();
        const auto counted = static_cast<uint64_t>(in.number());
        if (!entry.verdict.empty()) hits.accepted(entry.verdict, counted);
        if (in.more()) entry.message.sequence_key = static_cast<uint64_t>(in.number());
      }
    } else {
      const Time life = entry.message.rules ? entry.message.rules->time_to_live : Budget::kMost;
      fresh.told.wall = due_by_wall - life;
      fresh.due = life;
    }
    fresh.what = std::move(entry);
  }
  const auto place = places_.find(id);
  if (place == places_.end()) return;
  Entry& whole_entry = messages.at(place->second);
  Recovered& entry = whole_entry.what;
  if (kind == kAttempt) {
    const int number = static_cast<int>(in.number());
    Instant sent;
    sent.wall = in.number();
    entry.attempts = std::max(entry.attempts, number + 1);
    entry.unsettled[number].second = static_cast<int>(in.number());
    if (in.more()) {
      sent = in.instant();
      latest(sent);
    }
    whole_entry.sent[number] = sent;
  } else if (kind == kRestated) {
    whole_entry.told = in.instant();
    whole_entry.due = in.number();
    latest(whole_entry.told);
  } else if (kind == kNeverRan) {
    entry.unsettled.erase(static_cast<int>(in.number()));
  } else if (kind == kOwed) {
    entry.owed = notice;
  } else if (kind == kDone) {
    messages.erase(place->second);
    places_.erase(place);
    return;
  }
  whole_entry.records += framed(record);
}

// The newest instant that was written in a boot: at least that much of each budget of it was gone by then.
void JournalContent::latest(const Instant& seen) {
  Instant& newest = latest_[seen.boot];
  if (newest.steady <= seen.steady) newest = seen;
}

Time JournalContent::told_here(const Instant& then, const Instant& now) const {
  const auto newest = latest_.find(then.boot);
  if (then.boot == 0 || then.boot == now.boot || newest == latest_.end()) return here(then, now);
  return here(newest->second, now) - (newest->second.steady - then.steady);
}

void JournalContent::tell_times(Entry& entry, const Instant& now) const {
  const Time told = told_here(entry.told, now);
  entry.what.message.budget = Budget::until(told + entry.due - entry.told.steady);
  for (const auto& [number, sent] : entry.sent) {
    const auto unsettled = entry.what.unsettled.find(number);
    if (unsettled != entry.what.unsettled.end()) unsettled->second.first = told_here(sent, now);
  }
}

}  // namespace firspool::relay
