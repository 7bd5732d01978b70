// What the relay has taken on: the messages that it holds, with their journal, the notices that are owed, and
// where each message's time goes. The only place where a message begins and ends, and the only writer of the
// journal's records of messages.
#pragma once

#include <functional>
#include <unordered_map>
#include <variant>

#include "customer_rules.h"
#include "figures.h"
#include "journal.h"
#include "notices.h"
#include "outcomes.h"
#include "waits.h"

namespace firspool::relay {

class Custody {
 public:
  struct Held {
    Handed handed;
    int attempts = 0;
    bool out = false;     // its call is
    bool passed = false;  // to the successor, which has not said yet that it is written
    Stage stage = Stage::kQueue;
    Time since = 0;      // when that began
    bool taken = false;  // its record is written: the relay's until its end
  };
  using Happened = std::function<void(Event)>;  // for the module

  // Throws DiskFault where the journal cannot be used.
  Custody(boost::asio::io_context& io, Place place, size_t most_file, const Settings& settings,
          const umberhoist::access::Rules& rules, const tcp::endpoint& discovery, const ToldWaits& waits,
          Happened happened, size_t end_room = 0);

  // Ends have outcomes from now on; what the journal had of them is put in their log.
  void tell(Outcomes& outcomes);
  // Outcomes that could not be written, again.
  void catch_up();

  // Other settings and customers' rules from now on; messages keep those that they came under.
  void retune(const Settings& settings, const umberhoist::access::Rules& rules);
  size_t classes() const { return rules_.size(); }

  // A message that a client hands in. A line: its answer. A number: the module hears of it, and decided()
  // tells the answer after the module's step; one that comes once more before that has the same number.
  // Denied by its customer's rules, it is answered once that is written.
  std::variant<uint64_t, std::string> put(Handed handed);
  // It is the relay's from the moment that its record is written; only then its client is told, and only then
  // it may be sent. `away`: the action that turns it away, if there is one.
  // `shut`: the door was shut meanwhile, and it is not written.
  std::string decided(uint64_t number, const Action* away, bool shut = false);
  // Messages from before a restart, or from another process, are the module's to decide on, like any other.
  void resume(const std::vector<Recovered>& entries, bool pause = false);
  // Those for which this process has no room end at once, by a notice.
  void give_back(const std::vector<Recovered>& entries);

  // Null: it is over.
  Held* find(uint64_t number);
  // Where the message's time goes from now on; what it spent until now is counted.
  void enter(Held& held, Stage next);
  // Its call may write its first byte. False: it could not be recorded.
  bool sends(Held& held, int attempt, int zone);

  // The message is over; with a notice, that is still owed. Neither served nor noticed: a host said it is
  // over.
  void finish(uint64_t number, std::optional<Notice> notice, Reason reason = Reason::kDeadline,
              bool served = false);
  // It is another process's now, or never was taken on.
  void forget(uint64_t number);
  std::optional<uint64_t> number_of(const std::string& id) const;

  std::unordered_map<uint64_t, Held>& held() { return held_; }
  const std::unordered_map<uint64_t, Held>& held() const { return held_; }
  const std::unordered_map<std::string, uint64_t>& numbers() const { return numbers_; }
  Journal& journal() { return journal_; }
  const Journal& journal() const { return journal_; }
  Notices& notices() { return notices_; }
  const Notices& notices() const { return notices_; }
  // Rules' limits are divided evenly among so many relays from now on; 0: another part tells the module.
  void divide_limits(int relays);
  const CustomerRules& customers() const { return customers_; }
  uint64_t denied() const { return denied_; }  // messages, since this process began
  Figures& figures() { return figures_; }
  const Figures& figures() const { return figures_; }

 private:
  void grant();
  int tenant_of(const std::string& name) const;
  void forget_class(const std::string& name);
  // The platform knows of its end: only now it is over for those behind it in its sequence.
  void noticed(const std::string& id);

  std::vector<TenantSettings> tenants_;
  std::map<std::string, std::shared_ptr<const MessageRules>> rules_;  // of the settings as they are now
  CustomerRules customers_;
  Journal journal_;
  Outcomes* outcomes_ = nullptr;
  Figures figures_;
  Notices notices_;
  const ToldWaits& waits_;
  Happened happened_;
  int relays_ = 0;  // that share the limits evenly
  uint64_t denied_ = 0;
  uint64_t last_number_ = 0;
  std::unordered_map<uint64_t, Held> held_;
  std::unordered_map<std::string, uint64_t> numbers_;
  std::unordered_map<std::string, MessageReleased> ending_;  // those of a sequence whose notices are owed
};

}  // namespace firspool::relay
