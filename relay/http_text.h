// Requests of HTTP/1.1 as they go over the wire.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <string>

namespace firspool::relay {

constexpr unsigned kHttpVersion = 11;  // 1.1, as the library counts

template <typename Body>
std::string text_of(const boost::beast::http::request<Body>& request) {
  std::ostringstream out;
  out << request;
  return out.str();
}

}  // namespace firspool::relay
