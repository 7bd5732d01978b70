// What a person reads of a play: a page that opens from disk, and a few lines on the screen. And two sets of
// plays side by side, with what is noise told apart.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace umberhoist::lab {

// A whole page of HTML with its plots in it. Where gnuplot is not there the page says so in their place.
std::string report_page(const nlohmann::json& result);

std::string summary(const nlohmann::json& result);

// Each is a result, or a list of results over seeds. One line a figure that is in both.
std::string compare(const nlohmann::json& a, const nlohmann::json& b);

}  // namespace umberhoist::lab
