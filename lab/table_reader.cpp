#include "table_reader.h"

#include <cstdlib>
#include <sstream>

namespace umberhoist::lab {

toml::table load_table(const std::string& path, const std::vector<std::string>& set) {
  toml::table table;
  try {
    table = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream line;
    line << path << ": " << error.description() << " (line " << error.source().begin.line << ")";
    throw Unusable(line.str());
  }
  for (const std::string& item : set) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos) throw Unusable("--set " + item + " is not KEY=VALUE");
    const std::string key = item.substr(0, equals);
    const std::string value = item.substr(equals + 1);
    toml::table given;
    try {
      given = toml::parse("v = " + value);
    } catch (const toml::parse_error&) {  // a word without quotes
      given.insert_or_assign("v", value);
    }
    toml::node* at = &table;
    std::string rest = key;
    for (size_t dot; (dot = rest.find('.')) != std::string::npos; rest.erase(0, dot + 1)) {
      const std::string part = rest.substr(0, dot);
      if (toml::array* list = at->as_array()) {
        const size_t index = std::strtoul(part.c_str(), nullptr, 10);
        if (index >= list->size()) throw Unusable("--set " + key + ": there is no " + part);
        at = list->get(index);
      } else if (toml::table* inner = at->as_table()) {
        if (inner->get(part) == nullptr) inner->insert(part, toml::table{});
        at = inner->get(part);
      }
    }
    if (at->as_table() == nullptr) throw Unusable("--set " + key + " has no place");
    at->as_table()->insert_or_assign(rest, *given.get("v"));
  }
  return table;
}

}  // namespace umberhoist::lab
