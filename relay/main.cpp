// Wiring, arguments and signals.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <thread>

#include "config.h"
#include "disk_faults.h"
#include "log.h"
#include "relay.h"

namespace {

using firspool::relay::LogFormat;
using firspool::relay::LogLevel;

constexpr std::chrono::seconds kStartPatience{20};  // a relay has 30 s to be ready
constexpr std::chrono::milliseconds kStartPause{50};

struct Arguments {
  std::string config;
  std::string state;
  bool check = false;
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
};

// Arguments go before the environment. Answers the exit code where there is nothing to run.
std::optional<int> read_arguments(int argc, char** argv, Arguments& out) {
  CLI::App app("The relay: takes messages over RESP2 and delivers them by HTTP calls.");
  app.add_option("--config", out.config, "the configuration, a JSON file")->envname("PROXY_CONFIG");
  app.add_option("--state", out.state, "the folder that lasts")->envname("PROXY_STATE");
  app.add_flag("--check", out.check, "read the configuration, say what it means, and end");
  app.set_version_flag("--version", UMBERHOIST_VERSION);
  const std::map<std::string, LogFormat> formats = {{"text", LogFormat::kText}, {"json", LogFormat::kJson}};
  app.add_option("--log-format", out.format, "text or json")->transform(CLI::CheckedTransformer(formats));
  const std::map<std::string, LogLevel> levels = {{"debug", LogLevel::kDebug},
                                                  {"info", LogLevel::kInfo},
                                                  {"warning", LogLevel::kWarning},
                                                  {"error", LogLevel::kError}};
  app.add_option("--log-level", out.level, "debug, info, warning or error")
      ->transform(CLI::CheckedTransformer(levels));
  try {
    app.parse(argc, argv);
    if (out.config.empty()) throw CLI::RequiredError("--config or PROXY_CONFIG");
    if (out.state.empty() && !out.check) throw CLI::RequiredError("--state or PROXY_STATE");
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);  // help, version
    std::fprintf(stderr, "umberhoist: %s\n", error.what());
    return 2;
  }
  return {};
}

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
  io.run();
  relay.finish_last_turn();
}

// Files that fail for a moment end no process: what they hold is owed, and a start has time to be ready.
void serve_with_retries(const Arguments& given) {
  const auto until = std::chrono::steady_clock::now() + kStartPatience;
  while (true) {
    try {
      return serve(given);
    } catch (const firspool::relay::DiskFault& fault) {
      if (!fault.may_pass() || std::chrono::steady_clock::now() >= until) throw;
      firspool::relay::log_event(LogLevel::kWarning, "start_again", fault.line(), {{"reason", fault.code()}});
    }
    std::this_thread::sleep_for(kStartPause);
  }
}

}  // namespace

int main(int argc, char** argv) {
  Arguments given;
  if (const auto code = read_arguments(argc, argv, given)) return *code;
  if (given.check) return check(given);
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
