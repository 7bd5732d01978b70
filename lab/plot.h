// One plot of a play, made by gnuplot.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace umberhoist::lab {

struct PlotLine {
  const char* series;  // of the result; one that is not in it is left out
  const char* title;
  const char* colour;
};

// As SVG, with the faults as bands and as dashed lines at their beginnings; `more` is gnuplot's. Empty where
// there is nothing to draw; a line of HTML that says so where gnuplot is not there.
std::string plot(const nlohmann::json& result, const std::string& name, const std::string& label,
                 const std::vector<PlotLine>& lines, const std::string& more);

}  // namespace umberhoist::lab
