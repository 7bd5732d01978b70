#include "play.h"

#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "clients.h"
#include "closed_loop.h"
#include "crowd.h"
#include "hit_samples.h"
#include "strikes.h"
#include "views.h"

namespace umberhoist::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr double kSettleWithin = 10;  // of the relays' views, after the last fault

double own_cpu() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

// As many as the hard limit allows: a play of thirty relays holds some thousands.
void raise_descriptors() {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

class Play {
 public:
  Play(const Scenario& scenario, const PlayOptions& options)
      : scenario_(scenario),
        options_(options),
        plan_(draw(scenario, options.seed)),
        world_(io_, scenario_, plan_) {
    if (scenario.relays > 30)
      throw Unusable("relays is over 30: more than a machine plays in real time (see sim)");
    if (::access(options.program.c_str(), X_OK) != 0) {
      throw Unusable("the relay program " + options.program + " cannot be run");
    }
    if (scenario.relay.others > 0 && ::access(scenario.relay.other.c_str(), X_OK) != 0) {
      throw Unusable("relay.other " + scenario.relay.other + " cannot be run");
    }
    for (int i = 0; i < scenario.partners.count; ++i)
      partners_.push_back(std::make_unique<Partner>(world_, i));
    for (int i = 0; i < scenario.relays; ++i)
      agents_.push_back(std::make_unique<Discovery>(world_, i, partners_));
    if (scenario.fleet) network_ = std::make_unique<PairNetwork>(world_, scenario.relays);
    fleet_ = std::make_unique<Fleet>(world_, options.folder, options.program, agents_, network_.get());
    clients_ = std::make_unique<Clients>(world_, *fleet_);
    closed_loop_ = std::make_unique<ClosedLoop>(world_, *fleet_);
    crowd_ = std::make_unique<Crowd>(world_, *fleet_);
    if (scenario.fleet) views_ = std::make_unique<Views>(world_, *fleet_);
    if (scenario.changes_policy()) {
      if (!scenario.fleet) throw Unusable("a fault changes the policy, but fleet is not true");
      policies_ = std::make_unique<Policies>(world_, *fleet_, options.folder);
    }
    if (scenario.feeds.on) subscribers_ = std::make_unique<Subscribers>(world_, *fleet_, *world_.parts.feeds);
    if (scenario.access.on) hits_ = std::make_unique<HitSamples>(world_, *fleet_);
    strikes_ = std::make_unique<Strikes>(world_, Strikes::Parts{partners_, agents_, *fleet_, network_.get(),
                                                                policies_.get(), subscribers_.get()});
  }

  json run() {
    say("starting " + std::to_string(scenario_.relays) + " relays");
    fleet_->start([this] { begin(); });
    boost::asio::signal_set stopped(io_, SIGINT, SIGTERM);
    stopped.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      interrupted_ = true;
      io_.stop();
    });
    io_.run();
    if (interrupted_) throw Unusable("interrupted: what was started has been ended");
    return result_;
  }

 private:
  void say(const std::string& what) const {
    if (!options_.quiet) std::fprintf(stderr, "%6.1f s  %s\n", begun_ ? world_.now() : 0.0, what.c_str());
  }

  void begin() {
    begun_ = true;
    world_.begin();
    cpu_ = own_cpu();
    say("all serve; " + std::to_string(plan_.messages.size()) + " messages in " +
        std::to_string(static_cast<int>(scenario_.length_s)) + " s");
    for (const Fault& fault : plan_.faults) {
      world_.after(fault.at, [this, &fault] {
        say(fault.text());
        strikes_->strike(fault);
      });
    }
    // Views are looked at after the start and after each fault; none counts while another is on.
    if (views_) views_->watch(kSettleWithin);
    for (const Fault& fault : plan_.faults) {
      if (!views_) break;
      world_.after(fault.at + fault.lasts + 0.7, [this] {
        const double now = world_.now();
        for (const Fault& other : plan_.faults) {
          if (other.at <= now && now < other.at + other.lasts + 0.7) return;
        }
        views_->watch(kSettleWithin);
      });
    }
    clients_->start();
    closed_loop_->start();
    crowd_->start();
    world_.after(scenario_.length_s, [this] { closed_loop_->stop(); });
    if (policies_) policies_->start();
    if (subscribers_) subscribers_->start();
    if (hits_) hits_->start();
    progress();
    world_.after(scenario_.length_s, [this] { settle(); });
  }

  // Long plays show that they go on.
  void progress() {
    world_.after(10, [this] {
      if (over_) return;
      say("...");
      progress();
    });
  }

  void settle() {
    if (!clients_->idle() && world_.now() < scenario_.length_s + scenario_.settle_s) {
      return world_.after(0.1, [this] { settle(); });
    }
    over_ = true;
    end_ = world_.now();
    world_.figures.lab_used((own_cpu() - cpu_) / std::max(0.1, end_));
    if (views_) views_->finish();
    if (policies_) policies_->finish();
    crowd_->stop();
    crowd_->tell(world_.figures);
    if (scenario_.load.closed_loop > 0) closed_loop_->tell(world_.figures);
    world_.oracles.finish(end_);
    catch_up();
  }

  // Subscribers read what has ended, and relays hear of each other's hits.
  void catch_up() {
    const bool read = !subscribers_ || subscribers_->caught_up(end_);
    const bool counted = !hits_ || hits_->exact();
    const double now = world_.now();
    if (!(read && counted) && now < end_ + 2 * scenario_.settle_s)
      return world_.after(0.5, [this] { catch_up(); });
    if (hits_) hits_->finish();
    std::set<int> serving;
    for (int r = 0; r < scenario_.relays; ++r) {
      if (fleet_->serving(r)) serving.insert(r);
    }
    world_.parts.finish(now, end_, serving);
    if (subscribers_ || hits_) world_.figures.add("parts_caught_up_s", now - end_);
    if (subscribers_) {
      subscribers_->stop();
      subscribers_->tell(world_.figures);
    }
    say("ending the relays");
    fleet_->end([this] { done(); });
  }

  void done() {
    result_ = result_of(world_, end_, options_.program);
    io_.stop();
  }

  const Scenario& scenario_;
  const PlayOptions& options_;
  boost::asio::io_context io_{1};
  Plan plan_;
  World world_;
  std::vector<std::unique_ptr<Partner>> partners_;
  std::vector<std::unique_ptr<Discovery>> agents_;
  std::unique_ptr<PairNetwork> network_;
  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<ClosedLoop> closed_loop_;
  std::unique_ptr<Crowd> crowd_;
  std::unique_ptr<Views> views_;
  std::unique_ptr<Policies> policies_;
  std::unique_ptr<Subscribers> subscribers_;
  std::unique_ptr<HitSamples> hits_;
  std::unique_ptr<Strikes> strikes_;
  bool begun_ = false;
  bool over_ = false;
  bool interrupted_ = false;
  double end_ = 0;
  double cpu_ = 0;
  json result_;
};

}  // namespace

json play(const Scenario& scenario, const PlayOptions& options) {
  raise_descriptors();
  try {
    fs::create_directories(options.folder);
    for (int i = 0; i < scenario.relays; ++i) {
      fs::remove_all(fs::path(options.folder) / ("relay-" + std::to_string(i)));
    }
    if (std::ofstream probe(fs::path(options.folder) / "result.json"); !probe.put('\n').flush()) {
      throw Unusable("cannot write to " + options.folder + " (is the disk full?)");
    }
    Play one(scenario, options);
    return one.run();
  } catch (const boost::system::system_error& fault) {
    throw Unusable(std::string("the lab cannot use its sockets: ") + fault.what());
  } catch (const fs::filesystem_error& fault) {
    throw Unusable(fault.what());
  }
}

}  // namespace umberhoist::lab
