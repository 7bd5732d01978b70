// Agreement of the fleet on its policy: one version is in force, a change takes effect everywhere or nowhere,
// and relays that do not know the version in force are fenced. docs/policy-change.md has the design.
//
// Each relay applies one version and may accept messages until its lease expires (Admission). It renews the
// lease in each period with the leader of the voters. Leases: Gray, Cheriton, 1989.
// Each voter is a server of the replicated log (fleet/consensus), whose commands are those of PolicyLog.
// The leader grants leases, sends the change under way, collects the relays' answers, and decides or aborts.
//
// A change:  proposed -> checked by each relay that is present -> decided -> applied by each relay
//                     \-> aborted: a relay rejected it, or an operator aborted it
// A change is decided once each configured relay has accepted it, with that recorded in its present folder,
// or has a lease that has certainly expired. As soon as the decision is proposed to the log, the leader
// grants no lease to a relay that has not accepted the change.
//
// Messages (CBOR; a list of protocol, cluster, kind, bootstrap id, body): fresh and founded (at the
// bootstrap), raft (between voters), renew (to the leader, or to voters, one of which forwards it), grant
// (its answer), elsewhere (a voter names the leader).
//
// Guarantees (numbered as in the requirements): P1 a version has one text. P2, P4 once a relay accepts
// messages under a version, each relay that still accepts them under the version before has accepted the
// change, and none does so for longer than `lease_duration` plus clock drift from then. P3 the version in
// force and a voter's answers survive the process; a voter with an emptied folder is a new server, which
// votes once the leader has put it in the old one's place. P5 while a majority of voters is up, a change is
// decided or aborted within two lease durations. P7 follows from the log. P8 each relay reports what the
// leader sent last, and how long ago. Not guaranteed: that a change ends without a majority of voters;
// anything with a relay that lies (messages are not authenticated) or with clocks whose rates differ by more
// than 1 in kInverseDriftBound (detected where possible: the relay then accepts no messages).
//
// The caller carries out the outputs in order. If one fails, it destroys this object and creates it anew from
// the file, as after a crash. Bounds: the file holds at most kMaxFilePolicies policy texts and
// kMaxFileOverheadBytes, and a message at most as much; each relay has at most one pending request.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "agreement_messages.h"
#include "agreement_settings.h"
#include "clock_rate_check.h"
#include "consensus.h"
#include "leadership.h"
#include "policy_log.h"

namespace umberhoist::fleet {

class Agreement : private Consensus::Host {
 public:
  using InjectedFault = AgreementInjectedFault;
  using Settings = AgreementSettings;

  struct Write {  // appends to the file, or replaces it
    std::string bytes;
    bool replace = false;
  };
  struct Send {
    std::string to;
    std::string bytes;
  };
  struct ApplyPolicy {  // this version applies from now on
    uint64_t version = 0;
    std::string id;
    std::string text;
  };
  struct Admission {  // messages may be accepted under the version applied last until then; 0: none
    Time until = 0;
  };
  struct LogLine {
    const char* event;
    std::string text;
  };
  using Output = std::variant<Write, Send, ApplyPolicy, Admission, LogLine>;

  // What this relay knows.
  struct View {
    uint64_t version = 0;  // applied here; 0: none
    std::string id;
    uint64_t digest = 0;
    std::string closed_reason;    // why it accepts no messages; empty: it does
    std::string leader;           // that the last grant came from; empty: none yet
    Time last_received = 0;       // when that was; below 0: never
    uint64_t newest_version = 0;  // in force, by the last grant
    uint64_t leader_term = 0;
    std::optional<Change> change;
    std::vector<std::pair<std::string, std::string>> waiting_for;  // relays, and why
    std::string pending_request;  // the id of a request that the leader has not taken up yet
    std::deque<Outcome> outcomes;
  };

  // `file` is what was written before. Does not throw: an unusable file is reported by failure().
  Agreement(Settings settings, std::string_view file, uint64_t seed);

  void start(Time now);
  void on_datagram(Time now, const std::string& from, std::string_view bytes);
  void on_timer(Time now);
  Time next_wakeup() const;
  std::vector<Output> take_outputs() { return std::exchange(outputs_, {}); }

  // Operators' requests. Each returns why it is refused at once; empty: accepted, and view() shows the
  // result.
  std::string propose(Time now, const std::string& id, const std::string& text, uint64_t wall_ms);
  std::string abort(Time now, const std::string& id);
  std::string replace_voter(Time now, const std::string& old_voter, const std::string& new_voter);
  // Changes the configured relays. After the bootstrap the log alone decides who votes.
  void configure(Time now, std::vector<std::string> relays, std::vector<std::string> voters);
  // This relay accepts no more messages and is shutting down.
  void leave(Time now);

  View view(Time now) const;
  const std::string& policy_text() const { return policy_.text; }  // of the version applied here
  // Of an earlier version, if this relay is a voter that still keeps it.
  std::optional<std::string> text_of_version(uint64_t version) const;
  // Why the records cannot be used; if not empty, this relay sends nothing and accepts no messages.
  const std::string& failure() const { return failure_; }
  bool is_leader() const { return leadership_ && leadership_->is_active(); }
  uint64_t malformed_messages() const { return malformed_messages_; }
  uint64_t fingerprint(Time now) const;

  // Returns the policy that a file holds, if any, without changing anything.
  static std::optional<std::string> stored_policy(std::string_view file);

 private:
  struct Policy {
    uint64_t version = 0;
    std::string id;
    std::string text;
  };
  struct PendingRequest {  // of this relay's operator, until the leader has it
    nlohmann::json body;
    std::string id;
    Time since = 0;
    uint64_t sent_term = 0;  // echo_term and echo_timestamp of the last renewal that carried it
    uint64_t sent_timestamp = 0;
    bool timed_out = false;
  };

  // Consensus::Host
  void append_record(nlohmann::json record) override;
  void rewrite_records() override;
  void send_message(const std::string& to, nlohmann::json message) override;
  void apply_command(std::string_view command) override { policy_log_.apply(command); }
  std::string state() const override { return policy_log_.state(); }
  void restore(std::string_view state) override { policy_log_.restore(state); }

  // The records in the folder.
  void load(std::string_view file);
  std::string encode_file() const;

  void send(const std::string& to, const char* kind, nlohmann::json body);
  void log(const char* event, std::string text) { outputs_.push_back(LogLine{event, std::move(text)}); }
  uint64_t own_server_id() const;
  uint64_t random_id();  // practically unique; above 0
  std::vector<std::string> contacts() const;

  // The bootstrap, and the log.
  void try_bootstrap(Time now);
  void on_bootstrap(Time now, Bootstrap bootstrap);
  void start_raft(Time now, Consensus::PersistentState stored);

  // A relay's lease and its answers to changes.
  void renew_lease(Time now);
  LeaseRenewal make_renewal(Time now);
  void on_grant(Time now, const LeaseGrant& grant);
  void answer_change(Time now, const LeaseGrant& grant);
  bool apply_policy(Time now, const LeaseGrant& grant);
  void close_admission(const std::string& why);

  // Operators' requests and their outcomes.
  std::string begin_request(Time now, const std::string& id, nlohmann::json body);
  void receive_outcomes(const LeaseGrant& grant);
  void resolve_request(const LeaseGrant& grant);
  void record_outcome(Outcome outcome);
  const Outcome* find_outcome(const std::string& id) const;  // null: not known here

  Settings settings_;
  mutable pcg32 rng_;
  std::vector<Output> outputs_;
  std::string failure_;
  size_t appended_bytes_ = 0;  // since the file was replaced
  uint64_t malformed_messages_ = 0;

  // Persistent, as the records folder, founding, voters, policy, yes and lease.
  uint64_t folder_id_ = 0;
  std::optional<Bootstrap> bootstrap_;
  std::set<std::string> known_voters_;  // by the last grant
  Policy policy_;                       // applied here
  std::string accepted_change_id_;      // the last change that this folder accepted
  Time restored_lease_ = 0;             // only with InjectedFault::kLeaseSurvivesRestart
  Consensus::PersistentState stored_raft_;
  bool torn_ = false;  // the file ended within a record

  PolicyLog policy_log_;
  std::unique_ptr<Consensus> raft_;

  // As a relay.
  uint64_t incarnation_ = 0;
  Time next_renewal_ = kNever;
  uint64_t renewal_number_ = 0;
  std::map<uint64_t, Time> sent_renewals_;  // when sent, by number; the last kMaxSentRenewals
  std::string next_hop_;                    // where renewals go: the sender of the last grant
  std::string leader_;
  Time last_received_ = -1;  // a grant
  uint64_t leader_term_ = 0;
  uint64_t leader_timestamp_ = 0;
  uint64_t newest_version_ = 0;
  Time lease_expires_at_ = 0;
  std::string unsupported_reason_;  // why the version in force cannot be applied here
  std::string closed_reason_ = "no leader was heard yet";
  std::optional<Change> change_;  // by the last grant, without its text
  std::vector<std::pair<std::string, std::string>> waiting_for_;
  std::string answered_change_id_, rejection_reason_;
  bool accepted_but_unsupported_ = false;  // this folder accepted the change, this program cannot apply it
  std::optional<PendingRequest> request_;
  std::deque<Outcome> outcomes_;
  uint64_t ended_count_ = 0;
  bool leaving_ = false;
  ClockRateCheck clock_rate_;

  // As a voter.
  std::map<std::string, std::pair<uint64_t, Time>> fresh_voters_;  // before the bootstrap: folder, last seen
  std::optional<Leadership> leadership_;                           // as long as there is a log
};

}  // namespace umberhoist::fleet
