// The fleet's policy: one version in force, changed everywhere or nowhere, and a fence around those who do
// not know. docs/policy-change.md says why it is as it is.
//
// Each relay: holds one version, and may take on messages until the end of its lease (Door). It renews the
// lease each period with the voters' leader. Lease technique: Gray, Cheriton, 1989.
// Each voter: a server of the replicated log (fleet/consensus), which decides what fleet/policy_log says.
// The leader: grants leases, tells of a change, collects what each relay says of it, decides or aborts it.
//
// A change:  proposed -> checked by each relay that is present -> decided -> taken hold of by each
//                     \-> aborted: one said no, staff said so
// It is decided once each configured relay has said yes in its present folder, or its lease has surely run
// out. From the moment at which the decision is handed to the log the leader grants no lease to one that has
// not said yes.
//
// Messages (CBOR; a list of protocol, cluster, kind, founding, body): fresh, founded (at the first start),
// raft (between voters), renew (to the leader, or to voters, one of which passes it on), grant (its answer),
// elsewhere (a voter names the leader).
//
// Promised (numbers of the operators' brief): P1 a version is one text. P2, P4 where a relay acts under a
// version (its door is open), each that acts under the one before has said yes to the change, and none of
// those does longer than `term` and the clocks' drift from then. P3 what is in force and what a voter said
// outlast the process; an emptied folder is another voter until the leader puts it in its place. P5 with a
// majority of voters up a change is decided or aborted within 2 terms. P7 by the log. P8 each relay tells
// what the leader told it last, and how long ago.
// Not promised: a change's end where no majority of voters is up; anything where a relay lies (messages are
// not authenticated), or where two clocks' rates differ by more than 1 in kDriftOne (detected where a relay
// can: it closes its door).
//
// Outputs are carried out in their order, and one that fails ends this object: it is made anew from the
// file, as after a crash. Bounds: the file holds at most kFileTexts texts of a policy and kFileRest bytes; a
// message at most that; one proposal of each relay is under way.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "agreement_messages.h"
#include "agreement_settings.h"
#include "consensus.h"
#include "leadership.h"
#include "policy_log.h"
#include "rate_check.h"

namespace umberhoist::fleet {

class Agreement : private Consensus::Host {
 public:
  using Plant = AgreementPlant;
  using Settings = AgreementSettings;

  struct Write {  // to the file: at its end, or all of it
    std::string bytes;
    bool whole = false;
  };
  struct Send {
    std::string to;
    std::string bytes;
  };
  struct Adopt {  // this version from now on
    uint64_t version = 0;
    std::string id;
    std::string text;
  };
  struct Door {  // messages may be taken on under the version adopted last until then; 0: none
    Time until = 0;
  };
  struct Word {  // for the log
    const char* event;
    std::string text;
  };
  using Output = std::variant<Write, Send, Adopt, Door, Word>;

  // What this relay knows.
  struct View {
    uint64_t version = 0;  // held here; 0: none
    std::string id;
    uint64_t digest = 0;
    std::string closed;   // why its door is shut; empty: it is open
    std::string leader;   // last heard; empty: none yet
    Time heard = 0;       // when
    uint64_t newest = 0;  // in force, as it was told last
    uint64_t term = 0;    // of the leader
    std::optional<Change> change;
    std::vector<std::pair<std::string, std::string>> waiting;  // for whom, and why
    std::string asking;                                        // an id on its way to the leader
    std::deque<Outcome> outcomes;
  };

  // `file` is what was written before. Throws nothing: a file that does not read shows in broken().
  Agreement(Settings settings, std::string_view file, uint64_t seed);

  void start(Time now);
  void received(Time now, const std::string& from, std::string_view bytes);
  void woke(Time now);
  Time next() const;
  std::vector<Output> take() { return std::exchange(out_, {}); }

  // Staff's calls: empty, or why it is turned down at once. What comes of it shows in view().
  std::string propose(Time now, const std::string& id, const std::string& text, uint64_t wall_ms);
  std::string abort(Time now, const std::string& id);
  std::string replace(Time now, const std::string& old, const std::string& fresh);  // a voter
  // Other relays are configured from now on; who votes is the log's matter once the fleet is founded.
  void configure(Time now, std::vector<std::string> names, std::vector<std::string> voters);
  // This relay takes on nothing more and ends.
  void leave(Time now);

  View view(Time now) const;
  const std::string& text() const { return held_.text; }  // of the version held
  // Of an earlier version, where this relay is a voter that keeps it.
  std::optional<std::string> text_of_version(uint64_t version) const;
  // Why the file cannot be used; the door stays shut and nothing is said.
  const std::string& broken() const { return broken_; }
  bool leads() const { return leadership_ && leadership_->active(); }
  uint64_t unreadable() const { return unreadable_; }
  uint64_t fingerprint(Time now) const;

  // The policy in a file, where one is held; without using it.
  static std::optional<std::string> stored_policy(std::string_view file);

 private:
  struct Policy {
    uint64_t version = 0;
    std::string id;
    std::string text;
  };
  struct Ask {  // of this relay's staff, until the leader has it
    nlohmann::json body;
    std::string id;
    Time since = 0;
    uint64_t told_term = 0;  // it went out on the word of this leader
    uint64_t told_stamp = 0;
    bool given_up = false;
  };

  // Consensus::Host
  void record(nlohmann::json record) override;
  void compacted() override;
  void carry(const std::string& to, nlohmann::json message) override;
  void committed(std::string_view command) override { log_.apply(command); }
  std::string state() const override { return log_.state(); }
  void restore(std::string_view state) override { log_.restore(state); }

  // The folder's records.
  void load(std::string_view file);
  std::string whole_file() const;

  void send(const std::string& to, const char* kind, nlohmann::json body);
  void word(const char* event, std::string text) { out_.push_back(Word{event, std::move(text)}); }
  uint64_t own_id() const;
  uint64_t draw();  // a number that nobody else draws; above 0
  std::vector<std::string> contacts() const;

  // The founding, and the log.
  void found(Time now);
  void founded(Time now, Founding founding);
  void start_log(Time now, Consensus::Stored stored);

  // A relay's part.
  void renew(Time now);
  Renew make_renew(Time now);
  void granted(Time now, const Grant& grant);
  void consider(Time now, const Grant& grant);
  bool take_hold(Time now, const Grant& grant);
  void shut(const std::string& why);

  // Staff's asks, and what came of them.
  std::string begin_ask(Time now, const std::string& id, nlohmann::json body);
  void hear_outcomes(const Grant& grant);
  void settle_ask(const Grant& grant);
  void note(Outcome outcome);
  const Outcome* ended(const std::string& id) const;  // null: not that this relay knows

  Settings settings_;
  mutable pcg32 chance_;
  std::vector<Output> out_;
  std::string broken_;
  size_t appended_ = 0;  // bytes since the file was written whole
  uint64_t unreadable_ = 0;

  // On disk.
  uint64_t nonce_ = 0;  // of this folder
  std::optional<Founding> founding_;
  std::set<std::string> told_voters_;
  Policy held_;
  std::string yes_;      // the change to which this folder has said yes
  Time kept_lease_ = 0;  // planted fault only
  Consensus::Stored stored_;
  bool torn_ = false;

  PolicyLog log_;
  std::unique_ptr<Consensus> raft_;

  // A relay's part.
  uint64_t life_ = 0;
  Time renew_at_ = kNever;
  uint64_t number_ = 0;
  std::map<uint64_t, Time> sent_;  // renewals, by number; the last kMostSent
  std::string through_;            // who passed the last grant on
  std::string leader_;
  Time heard_ = -1;
  uint64_t leader_term_ = 0;
  uint64_t leader_stamp_ = 0;
  uint64_t newest_ = 0;
  Time lease_until_ = 0;
  std::string cannot_;  // why the version in force cannot be held here
  std::string closed_ = "no leader was heard yet";
  std::optional<Change> change_;  // as told, without its text
  std::vector<std::pair<std::string, std::string>> waiting_;
  std::string answer_, no_;  // to which change, and why not
  bool bound_ = false;       // this folder said yes, and this program cannot hold it
  std::optional<Ask> ask_;
  std::deque<Outcome> outcomes_;
  uint64_t ended_ = 0;
  bool leaving_ = false;
  RateCheck rates_;

  // A voter's part.
  std::map<std::string, std::pair<uint64_t, Time>> fresh_;  // before the founding: folders, and when heard
  std::optional<Leadership> leadership_;                    // as long as there is a log
};

}  // namespace umberhoist::fleet
