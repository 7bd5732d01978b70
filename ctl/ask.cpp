#include "ask.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <stdexcept>

namespace umberhoist::ctl {
namespace {

using tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr auto kPatience = std::chrono::seconds(3);

}  // namespace

Reply ask(const std::string& address, const std::string& call) {
  const size_t colon = address.rfind(':');
  boost::asio::io_context io;
  Error bad;
  const auto host = boost::asio::ip::make_address(address.substr(0, colon), bad);
  const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  if (bad || port <= 0 || port > 65535) throw std::runtime_error(address + " is no HOST:PORT");
  tcp::socket socket(io);
  std::string text, failure = "does not answer";
  const std::string sent = call + "\n";
  bool whole = false;
  socket.async_connect({host, static_cast<uint16_t>(port)}, [&](const Error& error) {
    if (error) {
      failure = error.message();
      return;
    }
    boost::asio::async_write(socket, boost::asio::buffer(sent), [&](const Error& failed, size_t) {
      if (failed) return;
      boost::asio::async_read(socket, boost::asio::dynamic_buffer(text),
                              [&](const Error& ended, size_t) { whole = ended == boost::asio::error::eof; });
    });
  });
  io.run_for(kPatience);
  if (!whole || text.empty()) throw std::runtime_error(address + ": " + failure);
  Reply out;
  std::istringstream in(text);
  std::getline(in, out.first);
  out.ok = out.first.starts_with("OK");
  for (std::string line; std::getline(in, line) && line != "END";) out.lines.push_back(line);
  return out;
}

}  // namespace umberhoist::ctl
