#include "incarnation.h"

#include <fstream>
#include <nlohmann/json.hpp>

#include "../fleet/membership.h"
#include "budget.h"

namespace firspool::relay {
namespace {

constexpr Time kWriteAgain = 1'000'000;

}  // namespace

IncarnationFile::IncarnationFile(const std::string& state)
    : path_(std::filesystem::path(state) / "fleet.json") {}

uint64_t IncarnationFile::stored() const {
  std::ifstream in(path_);
  const auto text = nlohmann::json::parse(in, nullptr, false);
  if (!text.is_object() || !text.contains("incarnation") || !text["incarnation"].is_number_unsigned())
    return 0;
  const auto value = text["incarnation"].get<uint64_t>();
  return value <= umberhoist::fleet::kMostIncarnation ? value : 0;
}

void IncarnationFile::keep(uint64_t incarnation) {
  if (incarnation == written_ || steady_now() < write_again_) return;
  write_again_ = steady_now() + kWriteAgain;
  const auto fresh = std::filesystem::path(path_) += ".new";
  std::ofstream out(fresh, std::ios::trunc);
  out << nlohmann::json{{"incarnation", incarnation}}.dump() << "\n";
  out.close();
  std::error_code failed;
  if (out) std::filesystem::rename(fresh, path_, failed);
  if (!out || failed) return;
  written_ = incarnation;
  write_again_ = 0;
}

}  // namespace firspool::relay
