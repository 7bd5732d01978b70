// Clients behind a plain front: open-loop arrivals, each message handed in until it is over or its client
// gives up. The front spreads messages over the relays that it takes for alive; of a death it hears late.
#pragma once

#include <unordered_map>

#include "fleet.h"
#include "resp.h"

namespace umberhoist::lab {

class Clients {
 public:
  Clients(World& world, Fleet& fleet);
  ~Clients();

  void start();  // the plan's arrivals begin
  bool idle() const { return open_ == 0 && next_ >= world_.plan.messages.size(); }  // nobody waits any more

 private:
  struct Message {  // one of the plan, until it is over
    std::string key;
    int tries = 0;
    bool over = false;
  };
  struct Try {
    size_t message = 0;
    int relay = 0;
    bool taken = false;
    bool delivered = false;
    bool over = false;
    std::string id;
    bool resent = false;
    std::string request;
  };

  void arrive();
  void hand_in(size_t message, bool after_refusal, bool after_silence);
  void send(const std::shared_ptr<Try>& one, bool fresh);
  void heard(const std::shared_ptr<Try>& one, const std::string& line);
  void unheard(const std::shared_ptr<Try>& one, Answer how);
  void again(size_t message, double after, bool refused, bool silent);
  void finish(size_t message);
  void delivered(const std::string& id);
  void noticed(const std::string& id, bool returned, double after);
  void lost(int relay);
  int pick();
  double back_off(int tries);

  World& world_;
  Fleet& fleet_;
  size_t next_ = 0;
  size_t open_ = 0;
  std::vector<Message> messages_;
  std::unordered_map<std::string, std::shared_ptr<Try>> tries_;  // by id
  std::vector<bool> alive_;                                      // as the front has it
  std::vector<int> lives_;                                       // of each relay, to tell late news from old
  std::vector<std::vector<std::shared_ptr<RespConnection>>> idle_;  // by relay
  boost::asio::steady_timer timer_;
};

}  // namespace umberhoist::lab
