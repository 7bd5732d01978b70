#include "plot.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace umberhoist::lab {

using nlohmann::json;

std::string plot(const json& result, const std::string& name, const std::string& label,
                 const std::vector<PlotLine>& lines, const std::string& more) {
  static int count = 0;
  const std::filesystem::path script =
      std::filesystem::temp_directory_path() /
      ("umberhoist-lab-" + std::to_string(::getpid()) + "-" + std::to_string(++count));
  std::ofstream out(script);
  out << "set terminal svg size 960,230 dynamic noenhanced name '" << name
      << "' font 'sans-serif,12' background '#ffffff'\n"
      << "set grid lc rgb '#dddddd'\nset border 3 lc rgb '#666666'\nset tics nomirror\nset key outside right "
         "top\nset lmargin 8\nset rmargin 28\n"
      << "set ylabel '" << label << "'\nset yrange [0:*]\n"
      << more;
  if (name != "latency") {
    out << "set xrange [0:" << result.value("length_s", 10.0) << "]\nset xlabel 'seconds'\n";
    int i = 0;
    for (const json& f : result.value("faults", json::array())) {
      ++i;
      const double at = f.at("at").get<double>();
      const double until = std::max(f.at("until").get<double>(), at + 0.05);
      out << "set object " << i << " rect from " << at << ", graph 0 to " << until
          << ", graph 1 fc rgb '#f6c5b8' fs transparent solid 0.35 noborder behind\n"
          << "set arrow " << i << " from " << at << ", graph 0 to " << at
          << ", graph 1 nohead lc rgb '#c0392b' dt 2\n";
    }
  }
  std::string command, data;
  for (const PlotLine& line : lines) {
    if (!result.at("series").contains(line.series)) continue;
    command += command.empty() ? "plot " : ", ";
    command += "'-' using 1:2 with " + std::string(name == "latency" ? "boxes" : "lines lw 2") + " lc rgb '" +
               line.colour + "' title '" + line.title + "'";
    for (const json& point : result["series"][line.series]) {
      data += point[0].dump() + " " + point[1].dump() + "\n";
    }
    data += "e\n";
  }
  out << command << "\n" << data;
  out.close();
  std::string svg;
  if (FILE* pipe =
          command.empty() ? nullptr : ::popen(("gnuplot " + script.string() + " 2>/dev/null").c_str(), "r")) {
    char bytes[4096];
    for (size_t got; (got = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;) svg.append(bytes, got);
    ::pclose(pipe);
  }
  std::error_code ignored;
  std::filesystem::remove(script, ignored);
  const size_t begin = svg.find("<svg");
  if (begin == std::string::npos) return command.empty() ? "" : "<p>No plot: gnuplot is not there.</p>\n";
  return svg.substr(begin);
}

}  // namespace umberhoist::lab
