// A relay's part in outcome feeds, whole: it serves subscribers (sessions, reads, acknowledgements), answers
// other relays from its logs, and is a voter where it is one. Binds session, reconcile, collect and register.
//
// FEED.OPEN: the voters promise a new ballot and the relays tell what they hold; reconcile() decides; the
// voters write it; then it is answered. FEED.READ: collect. FEED.ACK: the session writes at the voters.
// Each command is answered once, by `Answer`: its JSON, or the Fault.
//
// Bounds: kMostSessions (one that was idle for kIdle makes room), kMostWaiting commands under way, a batch of
// Settings::batch outcomes and kMostBatchBytes; `per_s` outcomes a second are read here in the long run (a
// read that gives none counts as one), with a second's worth saved up; reads wait for that in turn.
#pragma once

#include <list>
#include <pcg_random.hpp>

#include "collect.h"
#include "register.h"
#include "session.h"

namespace umberhoist::feeds {

inline constexpr ErrorKind kFeedFaults[] = {
    {"feed_unknown",
     "name a subscription of the policy (settings.realms[].feeds), or add it by policy propose"},
    {"session_unknown", "open the subscription anew with the cursor that is kept: FEED.OPEN"},
    {"session_fenced", "a newer session has the subscription: end this one, or open anew to take it back"},
    {"no_majority", "ask again; if it stays, see on FEEDS and METRICS which voters are down or recover"},
    {"acknowledged_ahead", "acknowledge cursors of batches of this session only"},
    {"feed_busy", "ask again in a second, or at another relay"},
};
inline const ErrorKind& kUnknownFeed = kFeedFaults[0];
inline const ErrorKind& kUnknownSession = kFeedFaults[1];
inline const ErrorKind& kFenced = kFeedFaults[2];
inline const ErrorKind& kNoMajority = kFeedFaults[3];
inline const ErrorKind& kAhead = kFeedFaults[4];
inline const ErrorKind& kBusy = kFeedFaults[5];

constexpr size_t kMostSessions = 256;
constexpr size_t kMostWaiting = 128;
constexpr Time kIdle = 600 * fleet::kSecond;

class Service {
 public:
  using Reply = std::variant<nlohmann::json, OperatorError>;
  using Answer = std::function<void(const Reply& reply)>;
  using Output = Register::Output;

  struct Settings {
    std::string cluster;
    std::string name;
    std::vector<std::string> relays;  // all that are configured
    std::vector<std::string> voters;
    std::map<Feed, std::vector<std::string>> feeds;  // of the policy, with their regions
    size_t batch = 500;
    double per_s = 2000;  // outcomes read here
  };
  struct Figures {
    uint64_t opened = 0, read = 0, outcomes = 0, acknowledged = 0, refused = 0, gaps = 0;
  };

  // `file`: the register's, where this relay is a voter. `logs`: this relay's, as they are now.
  Service(Settings settings, std::string_view file, uint64_t seed,
          std::function<std::vector<const OutcomeLog*>()> logs);

  void start(Time now);
  void open(Time now, const Feed& feed, std::optional<std::string> shown, Answer answer);
  void read(Time now, const std::string& session, const std::string& cursor, size_t most, Answer answer);
  void ack(Time now, const std::string& session, const std::string& cursor, Answer answer);
  void received(Time now, const std::string& from, std::string_view bytes);
  void woke(Time now);
  Time next() const;
  std::vector<Output> take() { return std::exchange(out_, {}); }

  void configure(Time now, Settings settings);
  void budget(double per_s) { settings_.per_s = per_s; }  // its part of the fleet's

  // Answers all that is under way: this relay ends, or begins anew.
  void close();

  // For people and METRICS.
  const Figures& figures() const { return figures_; }
  size_t sessions() const { return sessions_.size(); }
  size_t waiting() const { return waiting_.size() + reads_.size(); }
  const Register* voter() const { return register_ ? &*register_ : nullptr; }
  // Of a session here: the newest that is open, or nothing.
  const Session* session_of(const Feed& feed) const;
  std::map<std::string, Time> missing() const { return missing_; }  // relays, with since when

 private:
  struct Serving {
    Session session;
    std::optional<std::string> shown;
    std::optional<Collect> holdings;  // while it opens
    std::optional<Start> start;
    Positions given;           // the furthest that it was told
    std::vector<Origin> gone;  // said to be
    Answer answer;             // of the open or acknowledgement under way
    Time used = 0;
  };
  struct Read {
    uint64_t session = 0;
    Feed feed;
    uint64_t generation = 0;
    Positions taken;
    size_t most = 0;
    Answer answer;
    std::optional<Collect> collect;  // once there is budget for it
  };

  Collect collect(Time now, const Feed& feed, size_t most, Positions taken);
  Serving* find(const std::string& session);
  void make_room(Time now);
  void heard(Time now, const std::string& from, const Message& message);
  void hear(const std::string& from, const Ask& ask);
  void send(const std::string& to, std::string bytes);
  void advance(Time now);
  void advance(Time now, Serving& serving);
  double wanted(const Read& read) const;  // budget before it begins
  void begin_reads(Time now);
  void finish(Time now, Read& read);
  void hear_missing(Time now, const Collect& collect);
  void say_gaps(nlohmann::json& out, const Start& start, std::vector<Origin>* gone);
  nlohmann::json missing_json(Time now, const std::vector<Missing>& missing) const;
  std::string cursor_text(const Feed& feed, uint64_t generation, Positions taken) const;
  void fail(const Answer& answer, const OperatorError& fault);

  Settings settings_;
  std::function<std::vector<const OutcomeLog*>()> logs_;
  pcg64 chance_;
  std::optional<Register> register_;
  std::map<uint64_t, Serving> sessions_;  // by number
  std::deque<Read> waiting_;              // for budget
  std::list<Read> reads_;
  std::map<std::string, Time> missing_;
  std::deque<std::pair<std::string, std::string>> own_;  // to this relay itself
  std::vector<Output> out_;
  bool advancing_ = false;
  uint64_t last_read_;  // begins anywhere: answers to a process before this one match no read of it
  double tokens_ = 0;
  Time filled_ = -1;
  Figures figures_;
};

}  // namespace umberhoist::feeds
