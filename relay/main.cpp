// Wiring and signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>

#include "arguments.h"
#include "config.h"
#include "log.h"
#include "own_want.h"
#include "relay.h"
#include "signal_mask.h"
#include "system_fault.h"

namespace {

using firspool::relay::Arguments;
using firspool::relay::LogLevel;

constexpr std::chrono::seconds kStartPatience{20};  // a relay has 30 s to be ready
constexpr std::chrono::milliseconds kStartPause{50};

int check(const Arguments& given) {
  try {
    std::printf("%s", describe(firspool::relay::load_config(given.config, given.state)).c_str());
    return 0;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "umberhoist: %s: %s\n", given.config.c_str(), fault.what());
    return 1;
  }
}

// SIGHUP: the configuration file was replaced.
void follow_changes(boost::asio::signal_set& changes, firspool::relay::Relay& relay) {
  changes.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    relay.reload();
    follow_changes(changes, relay);
  });
}

// Serves until a planned end.
void serve(const Arguments& given) {
  boost::asio::io_context io(1);
  boost::asio::signal_set ends(io, SIGTERM, SIGINT);
  boost::asio::signal_set changes(io, SIGHUP);
  firspool::relay::Relay relay(
      io, firspool::relay::under_stored_policy(firspool::relay::load_config(given.config, given.state)),
      [](const auto& address) {
        const std::string at = address.address().to_string() + ":" + std::to_string(address.port());
        firspool::relay::log_info("listening", "listening on " + at, {{"address", at}});
      });
  ends.async_wait([&relay](const boost::system::error_code& error, int) {
    if (!error) relay.stop();
  });
  follow_changes(changes, relay);
  {
    const firspool::relay::DeliveredSignals delivered;
    io.run();
  }
  relay.finish_last_turn();
}

// Calls that fail for a moment end no process: what its files hold is owed, and a start has time to be ready.
void serve_with_retries(const Arguments& given) {
  const auto until = std::chrono::steady_clock::now() + kStartPatience;
  while (true) {
    try {
      return serve(given);
    } catch (const firspool::relay::SystemFault& fault) {
      if (!fault.may_pass() || std::chrono::steady_clock::now() >= until) throw;
      firspool::relay::log_event(LogLevel::kWarning, "start_again", fault.line(), {{"reason", fault.code()}});
    } catch (const boost::system::system_error& fault) {
      if (!firspool::relay::is_own_want(fault.code()) || std::chrono::steady_clock::now() >= until) throw;
      firspool::relay::log_event(LogLevel::kWarning, "start_again", fault.what(),
                                 {{"reason", fault.code().message()}});
    }
    if (firspool::relay::asked_to_end_within(kStartPause)) return;
  }
}

}  // namespace

int main(int argc, char** argv) {
  Arguments given;
  if (const auto code = read_arguments(argc, argv, given)) return *code;
  if (given.check) return check(given);
  firspool::relay::block_control_signals();  // ahead of any other thread
  firspool::relay::set_up_log(given.format, given.level);
  try {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is a write that failed
    serve_with_retries(given);
    return 0;
  } catch (const std::exception& error) {
    firspool::relay::log_event(LogLevel::kError, "ended", std::string("umberhoist: ") + error.what(),
                               {{"reason", error.what()}});
    return 1;
  }
}
