// A voter's part of what the fleet remembers of subscriptions: for each the newest ballot that it promised,
// and the positions written last under the newest ballot that wrote (a register as in Lamport's "The
// part-time parliament", 1998, phase 1 once a session and phase 2 for each acknowledgement).
//
// Rules: a promise for a ballot at or above the promised one is given, and told with what was accepted. A
// write under a ballot at or above the promised one is taken, if it is not older than the one that is held
// (ballot, turn). All else is answered with the ballot that was promised. An answer is true only once Write
// is on disk: outputs are carried out in their order, and one that fails ends the object.
//
// An emptied folder: this voter has lost what it promised. It draws a new folder number, says so to the other
// voters until each has answered, and answers nothing else until it has read the pages of a majority of the
// others that have not lost theirs, or of all of them (the founding). Each answer names the answering voter's
// folder and the folders it was told of; a session counts no voter of which another one knows a different
// folder (session.h). So an answer given from a folder that was emptied since makes no majority.
//
// Promised: with a majority of folders whole, an acknowledgement that a majority took is found by each later
// opening, and none is taken from a fenced session. Not promised: more than a minority emptied within the
// time that one takes to read its pages; the founding while a voter is down (all must have been up once).
// Bounds: kMostFeeds; those that are not in the policy make room for others; a file of at most twice its
// content and kSlack.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>

#include "../fleet/state_machine.h"
#include "messages.h"

namespace umberhoist::feeds {

using fleet::Time;
constexpr size_t kMostFeeds = 1024;

class Register {
 public:
  enum class Plant { kNothing, kFencedTaken };  // faults for the model checker

  struct Settings {
    std::string name;                 // one of the voters
    std::vector<std::string> voters;  // all
    Time again = 300 * fleet::kMs;    // between questions for pages
    Plant plant = Plant::kNothing;
  };
  struct Append {  // to the file: at its end, or all of it
    std::string bytes;
    bool whole = false;
  };
  struct Send {
    std::string to;
    std::string bytes;
  };
  using Output = std::variant<Append, Send>;

  // `file`: what was written. One that does not read counts as emptied. `fresh`: a folder number of chance.
  Register(Settings settings, std::string_view file, uint64_t fresh);

  void start(Time now);
  void received(Time now, const std::string& from, const Message& message);  // Promise, Write, Pull, Page
  void woke(Time now);
  Time next() const { return announcing_.empty() && !recovering_ ? fleet::kNever : again_at_; }
  std::vector<Output> take() { return std::exchange(out_, {}); }

  void configure(std::vector<std::string> voters) { settings_.voters = std::move(voters); }
  // Of the policy: the others make room where there is none.
  void live(std::set<Feed> feeds) { live_ = std::move(feeds); }

  bool recovering() const { return recovering_; }
  const std::map<Feed, Held>& held() const { return held_; }

 private:
  static constexpr uint64_t kFormat = 1;
  // Kinds of the file's records; numbers, as the library takes an enumeration for a signed one.
  static constexpr uint64_t kFolder = 0, kOther = 1, kWhole = 2, kHeld = 3, kGone = 4;
  struct Peer {  // while this one recovers
    Feed after;
    std::map<Feed, Held> held;
    bool done = false;
    bool whole = false;
  };

  bool load(std::string_view file);
  void apply(const nlohmann::json& record);
  void keep(const nlohmann::json& record);
  void keep_whole();
  std::string whole_file() const;
  void ask(Time now);
  bool room_for(const Feed& feed);
  std::string refusal(const Feed& feed);  // empty: none
  void answer(const std::string& to, Said said);
  void heard(const std::string& from, const Promise& m);
  void heard(const std::string& from, const Write& m);
  void heard(const std::string& from, const Pull& m);
  void heard(const std::string& from, const Page& m);
  void settle();

  Settings settings_;
  std::vector<Output> out_;
  std::set<Feed> live_;
  std::map<Feed, Held> held_;
  uint64_t folder_ = 0;
  std::map<std::string, std::deque<uint64_t>> folders_;  // of the others, as told; the last one counts
  bool recovering_ = false;
  std::map<std::string, Peer> peers_;
  std::set<std::string> announcing_;  // to whom this folder's number is not known yet
  Time again_at_ = fleet::kNever;
  size_t appended_ = 0;  // bytes since the file was written whole
  size_t whole_size_ = 0;
};

}  // namespace umberhoist::feeds
