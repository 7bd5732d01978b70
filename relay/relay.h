// The relay: the only owner of the decision module. Collects what happens, lets the module decide once a turn
// of the event loop, and carries its decisions out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "access_link.h"
#include "budget_link.h"
#include "clients.h"
#include "config.h"
#include "custody.h"
#include "disk_faults.h"
#include "feed_link.h"
#include "fleet_link.h"
#include "handover.h"
#include "operator.h"
#include "replies.h"
#include "watch.h"

namespace firspool::relay {

class Relay {
 public:
  // Reads the journal, hears discovery if it answers, then opens the listener and says so. Throws
  // std::exception where it cannot serve.
  Relay(boost::asio::io_context& io, const Config& config,
        std::function<void(const tcp::endpoint&)> listening);

  // The configuration file was replaced.
  void reload();

  // Planned end: serves a little longer, lets calls finish, and stops the event loop.
  void stop();
  // Once the loop was stopped.
  void finish_last_turn();

 private:
  // Whose journals there are in the folder at the start.
  struct Standing {
    Place own;
    std::optional<Place> left;  // by a process that is gone
    bool predecessor = false;   // another process serves
  };
  // What a predecessor still uses of the limits, and the messages that it still holds.
  struct Share {
    size_t calls = 0;
    size_t held = 0;
    size_t clients = 0;
    size_t file = 0;  // of its journal
    std::set<std::string> ids;
  };
  struct Pending {  // handed in during this turn, not yet decided on
    uint64_t number = 0;
    Clients::Answer answer;
  };

  // The start, the report and the end (relay.cpp).
  void recall(const std::map<std::string, std::string>& facts);
  void told(const HostList& list);
  void members_changed(std::optional<MembersChanged> change);
  void open();
  void serve();
  void listen();
  void report();
  void wait_for_end();
  std::string busy_line(Time within);  // with a wait of at most that, where settings allow one
  size_t client_limit() const;
  // The turn with the module (turn.cpp).
  void put(Handed handed, Clients::Answer answer);
  bool may_start(const Call& call);
  void ended(const AttemptEnded& end, bool began);
  void happened(Event event);
  void step();
  void answer_pending(const std::vector<Action>& actions);
  void carry_out(const Action& action);
  void arm();
  Lane lane_of(const Member& member) const;
  // The rules that hold, its own and the fleet's (rules.cpp).
  void share_budgets();
  void join_fleet();
  PolicyLink::Host policy_host();
  void open_feeds();
  void show_fleet();
  bool reload_later();
  void reload_now();
  void take(Config next);
  void show_access();
  std::string fenced_line();
  bool shut() const;  // the fleet's fence: nothing new is taken on
  // Upgrade: as the successor of another process (upgrade_successor.cpp),
  static Standing take_places(const std::filesystem::path& folder);
  size_t file_limit() const;
  std::optional<Place> take_other_place();
  bool adopt(const Place& left);
  bool adopt_while_running(const Place& left);
  void adopt_later();
  void notify_overdue(const std::vector<Recovered>& entries);
  static void log_not_taken_over(const DiskFault& fault);
  void succeed();
  void succeed_later();
  static void after_pause(boost::asio::steady_timer& timer, std::function<void()> then);
  void heard_as_successor(Word word, const std::string& text);
  bool take_passed(const std::string& text);
  void take_passed_later();
  void take_share(const std::string& text);
  void apply_share();
  // and as the predecessor of one (upgrade_predecessor.cpp).
  void asked(std::shared_ptr<Link> link);
  void hand_over();
  void pass_on();
  void tell_share();
  void passed_on(const std::string& id);
  void end_overdue_passed();
  void successor_lost();
  void look_for_successor_again();
  void resume_passed();

  boost::asio::io_context& io_;
  Config config_;
  Directory directory_;
  Share share_;  // of a predecessor
  Standing standing_;
  ToldWaits waits_;
  Custody custody_;
  std::optional<Outcomes> outcomes_;  // where customers have feeds
  Policy policy_;
  std::mt19937_64 random_;
  size_t avoided_ = 0;  // listed hosts that the module passes over
  std::vector<Event> events_;
  std::vector<Pending> pending_;
  std::vector<uint64_t> returned_;  // their attempts ended since the last step
  bool step_posted_ = false;
  std::set<Time> wakes_;
  boost::asio::steady_timer wake_timer_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer reload_timer_;
  int reload_tries_ = 0;              // of a configuration that cannot be read, since its signal
  Time stopping_since_ = 0;           // 0: not stopping
  bool closed_ = false;               // clients were let go
  bool handing_ = false;              // to a successor
  std::string told_share_;            // to a successor, last
  std::set<std::string> taken_over_;  // from a predecessor: its journal may name them still
  std::vector<Recovered> waiting_;    // from before: resumed once this process serves
  std::vector<Recovered> adopted_;    // of what another process left: waits until all of that is written here
  std::set<std::string> notified_;    // of what could not be written here yet, those whose time is over
  std::vector<std::string> unwritten_;  // as a predecessor passed them on, to be written here yet
  std::shared_ptr<Link> link_;          // to the other process
  Upstream upstream_;
  Replies replies_;
  std::optional<AccessLink> access_;   // where customers have rules, or had
  std::optional<BudgetLink> budgets_;  // where relays share them
  std::optional<FleetLink> fleet_;     // where relays talk, and this process serves
  std::optional<FeedLink> feeds_;      // with the fleet, and where customers have feeds
  int relays_ = 0;                     // as the fleet's view counts them; 0: the settings say
  std::optional<Operator> operator_;
  Watch watch_;
  std::function<void(const tcp::endpoint&)> listening_;
  boost::asio::steady_timer open_timer_;
  boost::asio::steady_timer peer_timer_;
  boost::asio::steady_timer passed_timer_;
  std::optional<Handover> handover_;
  std::optional<Clients> clients_;  // once what was taken on before is resumed
};

}  // namespace firspool::relay
