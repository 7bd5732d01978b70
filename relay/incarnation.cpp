#include "incarnation.h"

#include <nlohmann/json.hpp>

#include "../fleet/membership.h"
#include "budget.h"
#include "lasting_file.h"

namespace firspool::relay {
namespace {

constexpr Time kWriteAgain = 1'000'000;

}  // namespace

IncarnationFile::IncarnationFile(const std::string& state)
    : path_(std::filesystem::path(state) / "fleet.json") {}

uint64_t IncarnationFile::stored() const {
  const auto text = nlohmann::json::parse(read_file(path_), nullptr, false);
  if (!text.is_object() || !text.contains("incarnation") || !text["incarnation"].is_number_unsigned())
    return 0;
  const auto value = text["incarnation"].get<uint64_t>();
  return value <= umberhoist::fleet::kMaxIncarnation ? value : 0;
}

void IncarnationFile::keep(uint64_t incarnation) {
  if (incarnation == written_ || steady_now() < write_again_) return;
  write_again_ = steady_now() + kWriteAgain;
  if (!LastingFile(path_).replace(nlohmann::json{{"incarnation", incarnation}}.dump() + "\n")) return;
  written_ = incarnation;
  write_again_ = 0;
}

}  // namespace firspool::relay
