// The leader's side of the policy agreement (agreement.h): tracks what each relay answered in this leader
// term, grants leases, proposes the operators' requests to the log, decides or aborts a change, and brings
// the servers of the log in line with the voters that the log names.
//
// Guarantees: from the moment at which a decision is proposed to the log, no lease goes to a relay that has
// not accepted the change; none is granted without a majority of voters that recently confirmed this leader.
// What a leader knows of the relays is lost with its leader term.
#pragma once

#include <map>

#include "agreement_messages.h"
#include "agreement_settings.h"
#include "consensus.h"

namespace umberhoist::fleet {

class Leadership {
 public:
  // The arguments must outlive this object.
  Leadership(const AgreementSettings& settings, Consensus& raft, const PolicyLog& log)
      : settings_(settings), raft_(raft), policy_log_(log) {}

  // Whether it leads, and has applied the log up to the start of its own leader term.
  bool is_active() const;
  // Does whatever is due at this time and state of the log; called after each event.
  void advance(Time now);
  // Only while it is active. The caller sets the grant's bootstrap_id. Throws DecodeError on a malformed
  // request.
  LeaseGrant handle_renewal(Time now, const LeaseRenewal& renewal);
  // Called before the settings change.
  void configure(Time now, const std::vector<std::string>& relays);
  // Hash of the state that determines its behaviour, with times relative to now.
  uint64_t fingerprint(Time now) const;

 private:
  struct LeaseHolder {  // a relay, as known in this leader term
    Time last_received = -1;
    Time lease_expires_at = 0;  // certainly expired afterwards
    uint64_t folder_id = 0;
    uint64_t voter_confirmed_at = 0;  // as a voter it still followed this leader then
    uint64_t last_acknowledged = 0;   // timestamp of the last grant that it has received
    uint64_t version = 0;
    std::string unsupported_reason;
    std::string accepted_change_id;
    std::string rejected_change_id;
    std::string rejection_reason;
    std::string sent_change_id;
    Time change_sent_at = 0;
  };

  LeaseHolder& record_renewal(Time now, const LeaseRenewal& renewal);
  // Counted from when the relay sent the renewal; 0: no lease.
  Time lease_duration_for(Time now, const LeaseHolder& relay, const LeaseRenewal& renewal) const;
  std::optional<Time> majority_confirmed_at(Time now) const;
  void handle_request(Time now, const LeaseRenewal& renewal);
  void evaluate_change(Time now);
  void reconcile_voters(Time now);
  std::vector<std::pair<std::string, std::string>> waiting_for(Time now) const;
  // How long the leader has to wait until a lease has certainly expired, whichever clock is slow.
  Time with_drift_margin(Time lease) const { return lease + 2 * lease / kInverseDriftBound; }

  const AgreementSettings& settings_;
  Consensus& raft_;
  const PolicyLog& policy_log_;
  uint64_t leader_term_ = 0;   // the Raft term in which it leads; 0: it does not lead
  Time prior_leases_end_ = 0;  // leases granted by earlier leaders have certainly expired afterwards
  std::map<std::string, LeaseHolder> lease_holders_;
  std::string pending_change_id_;   // proposed in this leader term and not committed yet
  std::string deciding_change_id_;  // whose decision or abort was proposed
  bool initial_policy_proposed_ = false;
};

}  // namespace umberhoist::fleet
