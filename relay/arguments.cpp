#include "arguments.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>

namespace firspool::relay {

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

}  // namespace firspool::relay
