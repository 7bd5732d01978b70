// One connection that a relay opened to an endpoint: HTTP/1.1, one call after the other.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "partner_endpoint.h"

namespace umberhoist::lab {

class Partner::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Endpoint& endpoint, tcp::socket socket, bool over);

  void next();  // reads a call
  void ran();   // its time in a core is over
  void close(bool reset);

 private:
  using Body = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void came();
  void watch();
  void answer(const std::string& status, const std::string& headers, Oracles::Ran ran, double told);
  void over_call();

  Endpoint* endpoint_;
  World& world_;
  tcp::socket socket_;
  bool over_;  // more connections than the endpoint holds
  bool fresh_ = true;
  boost::beast::flat_buffer buffer_;
  std::optional<Body> parser_;
  double first_ = -1;
  std::string id_;  // of the call that is out
  std::string out_;
};

}  // namespace umberhoist::lab
