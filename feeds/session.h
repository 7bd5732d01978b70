// One subscriber's right to a subscription, as the relay that serves it sees it: opened at a majority of the
// voters' registers (register.h), acknowledged there, fenced by whoever opens after it.
//
//   kPromising -> kPromised: a majority promised this ballot; remembered() is what the fleet remembers
//   kPromised -> kWriting -> kOpen: begin() wrote it under this ballot
//   kOpen -> kWriting -> kOpen: ack()
//   any of them -> kFenced: a voter promised a newer ballot; it is over
//   kPromising, kWriting -> kNoMajority: no majority answered within `most`; an ack may be tried again
//
// Promised: kOpen after ack() says that the positions are at a majority that had promised nothing newer when
// it wrote them, so each later opening finds them. Positions never go back within a session, but for origins
// that are dropped as gone. A voter is not counted while another one's answer knows a different folder of it.
// Not promised: that what ended in kNoMajority was not taken; the next opening may find it.
// Bounds: one message to each voter each `again`.
#pragma once

#include "../fleet/state_machine.h"
#include "messages.h"

namespace umberhoist::feeds {

using fleet::Time;

class Session {
 public:
  enum class State { kPromising, kPromised, kWriting, kOpen, kFenced, kNoMajority };

  struct Settings {
    std::vector<std::string> voters;
    Time again = 300 * fleet::kMs;
    Time most = 2000 * fleet::kMs;
  };
  struct Send {
    std::string to;
    std::string bytes;
  };

  // `number`: of chance. `generation`: of the newest session that is known, if any.
  Session(Settings settings, Feed feed, uint64_t number, uint64_t generation = 0);

  void open(Time now);
  void begin(Time now, Positions remembered);  // in kPromised
  void ack(Time now, const Positions& taken);  // in kOpen, or in kNoMajority after it was open
  void drop(const std::vector<Origin>& gone);  // from what is acknowledged next, as they are no more
  void received(Time now, const std::string& from, const Said& said);
  void woke(Time now);
  Time next() const;
  std::vector<Send> take() { return std::exchange(out_, {}); }

  State state() const { return state_; }
  bool was_open() const { return was_open_; }
  const Feed& feed() const { return feed_; }
  const Ballot& ballot() const { return ballot_; }
  const Positions& remembered() const { return remembered_; }
  std::string why() const;  // there is no majority: what voters said

 private:
  void ask(Time now);
  void enter(Time now, State state);
  bool counts(const std::string& voter) const;
  bool majority() const;
  void write(Time now);

  Settings settings_;
  Feed feed_;
  Ballot ballot_;
  State state_ = State::kPromising;
  bool was_open_ = false;
  uint64_t turn_ = 0;
  Positions remembered_;
  std::map<std::string, Said> yes_;
  std::map<std::string, std::string> no_;
  Time began_ = 0;
  Time again_at_ = fleet::kNever;
  int outbid_ = 0;  // how often this opening chose a generation anew
  std::vector<Send> out_;
};

}  // namespace umberhoist::feeds
