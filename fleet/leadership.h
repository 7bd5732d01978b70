// The part of the voters' leader in the agreement on the fleet's policy (agreement.h): it knows what each
// relay said in this reign, grants leases, hands what staff asks to the log, decides or aborts a change, and
// brings the log's servers to the voters that the log names.
//
// Promised: no lease from the moment at which a decision is handed to the log to one that has not said yes;
// none without a majority of voters that still knew this reign. What it knows is of one reign only.
#pragma once

#include <map>

#include "agreement_messages.h"
#include "agreement_settings.h"
#include "consensus.h"

namespace umberhoist::fleet {

class Leadership {
 public:
  // All of them outlive this.
  Leadership(const AgreementSettings& settings, Consensus& raft, const PolicyLog& log)
      : settings_(settings), raft_(raft), log_(log) {}

  bool active() const;  // it leads, and its own reign is in the log that it has applied
  // Whatever the time and the log ask for; after each event.
  void lead(Time now);
  // While it is active; the grant's founding is the caller's to set. Throws Bad: staff's words do not read.
  Grant answer(Time now, const Renew& renew);
  // Before the settings have them.
  void configure(Time now, const std::vector<std::string>& names);
  // All that decides what it does next, times counted from now.
  uint64_t fingerprint(Time now) const;

 private:
  struct Lessee {  // a relay, in this reign
    Time heard = -1;
    Time lease_until = 0;  // surely over after
    uint64_t nonce = 0;
    uint64_t echo = 0;     // it knew this reign after, as a voter
    uint64_t reached = 0;  // what was said then, in this reign, has reached it
    uint64_t version = 0;
    std::string cannot;
    std::string yes;  // to which change
    std::string no;
    std::string why;
    std::string told;  // of which change
    Time told_at = 0;
  };

  Lessee& hear(Time now, const Renew& renew);
  // From when it asked; 0: none.
  Time lease_for(Time now, const Lessee& relay, const Renew& renew) const;
  std::optional<Time> confirmed(Time now) const;
  void take_ask(Time now, const Renew& renew);
  void judge(Time now);
  void arrange_voters(Time now);
  std::vector<std::pair<std::string, std::string>> waiting(Time now) const;
  Time surely_over(Time lease) const { return lease + 2 * lease / kDriftOne; }

  const AgreementSettings& settings_;
  Consensus& raft_;
  const PolicyLog& log_;
  uint64_t reign_ = 0;  // the term in which it leads; 0: it does not
  Time clear_ = 0;      // what was granted before it is surely over after
  std::map<std::string, Lessee> lessees_;
  std::string busy_;      // proposed in this reign, not committed yet
  std::string deciding_;  // its decision or abort is
  bool first_proposed_ = false;
};

}  // namespace umberhoist::fleet
