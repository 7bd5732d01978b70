// A scenario's file, as a table of keys.
#pragma once

#include <toml++/toml.h>

#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "range.h"

namespace umberhoist::lab {

// Reads a file with `set` (KEY=VALUE, a dotted path) laid over it. Throws Unusable.
toml::table load_table(const std::string& path, const std::vector<std::string>& set);

// Reads a table's keys; what nobody asked for is unknown. What a key is not given for stays as it is. All
// throw Unusable.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string at) : table_(table), at_(std::move(at)) {}

  void number(const char* key, double& out) {
    if (const toml::node* node = take(key)) {
      const auto value = node->value<double>();
      if (!value || !std::isfinite(*value)) throw Unusable(path(key) + " is not a number");
      if (*value < 0) throw Unusable(path(key) + " is below 0");
      out = *value;
    }
  }
  void number(const char* key, int& out) {
    double value = out;
    number(key, value);
    if (value != std::floor(value) || value > 1e6) throw Unusable(path(key) + " is not a whole number");
    out = static_cast<int>(value);
  }
  void range(const char* key, Range& out, bool below_zero = false) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    if (const toml::array* pair = node->as_array()) {
      if (pair->size() != 2) throw Unusable(path(key) + " is not [LOW, HIGH]");
      out = {value_of(*pair->get(0), key), value_of(*pair->get(1), key)};
    } else {
      out.low = out.high = value_of(*node, key);
    }
    if (out.low > out.high) throw Unusable(path(key) + " has its low above its high");
    if (out.low < 0 && !below_zero) throw Unusable(path(key) + " is below 0");
  }
  void text(const char* key, std::string& out, const std::set<std::string>& allowed = {}) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const auto value = node->value<std::string>();
    if (!value) throw Unusable(path(key) + " is not a text");
    if (!allowed.empty() && !allowed.contains(*value)) {
      throw Unusable(path(key) + " is \"" + *value + "\", which is not known");
    }
    out = *value;
  }
  void flag(const char* key, bool& out) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const auto value = node->value<bool>();
    if (!value) throw Unusable(path(key) + " is not true or false");
    out = *value;
  }
  // Lists of texts, and of whole numbers.
  void list(const char* key, std::vector<std::string>& out) {
    each(key, out, "a list of texts", [](const toml::node& n) { return n.value<std::string>(); });
  }
  void list(const char* key, std::vector<int>& out) {
    each(key, out, "a list of whole numbers", [](const toml::node& n) { return n.value_exact<int64_t>(); });
  }
  // Each table of a list, likewise; `before` is called with each as it is before it is read.
  template <typename Spec, typename Before>
  void sections(const char* key, std::vector<Spec>& out, Before before) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr) throw Unusable(path(key) + " is not a list of tables");
    for (size_t i = 0; i < list->size(); ++i) {
      const toml::table* item = list->get(i)->as_table();
      const std::string at = path(key) + "." + std::to_string(i);
      if (item == nullptr) throw Unusable(at + " is not a table");
      TableReader reader(*item, at);
      Spec spec;
      before(spec);
      read(reader, spec);
      reader.finish();
      out.push_back(std::move(spec));
    }
  }
  template <typename Spec>
  void sections(const char* key, std::vector<Spec>& out) {
    sections(key, out, [](Spec&) {});
  }
  // A section, by the read(TableReader&, Spec&) that stands beside its Spec.
  template <typename Spec>
  void section(const char* key, Spec& out) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    if (node->as_table() == nullptr) throw Unusable(path(key) + " is not a table");
    TableReader reader(*node->as_table(), path(key));
    read(reader, out);
    reader.finish();
  }
  void finish() const {
    for (const auto& [key, node] : table_) {
      if (!taken_.contains(std::string(key.str()))) {
        throw Unusable("unknown key " + path(std::string(key.str())));
      }
    }
  }

 private:
  template <typename Value, typename Read>
  void each(const char* key, std::vector<Value>& out, const char* form, Read read_one) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr) throw Unusable(path(key) + " is not " + form);
    out.clear();
    for (const toml::node& item : *list) {
      const auto value = read_one(item);
      if (!value) throw Unusable(path(key) + " is not " + form);
      out.push_back(static_cast<Value>(*value));
    }
  }
  const toml::node* take(const char* key) {
    taken_.insert(key);
    return table_.get(key);
  }
  double value_of(const toml::node& node, const char* key) const {
    const auto value = node.value<double>();
    if (!value || !std::isfinite(*value)) throw Unusable(path(key) + " is not a number");
    return *value;
  }
  std::string path(const std::string& key) const { return at_.empty() ? key : at_ + "." + key; }

  const toml::table& table_;
  std::string at_;
  std::set<std::string> taken_;
};

}  // namespace umberhoist::lab
