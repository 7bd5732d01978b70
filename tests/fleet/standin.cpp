// A stand-in relay, as plain as can be: one attempt for each message, on a connection of its own.
// STANDIN_FAULT breaks one promise, so that the oracle that watches it can be seen to catch it.
#include <signal.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "standin_parts.h"

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using nlohmann::json;

const std::string fault = std::getenv("STANDIN_FAULT") == nullptr ? "" : std::getenv("STANDIN_FAULT");

json config;
std::unique_ptr<StandinParts> parts;
std::mutex mutex;
std::map<int, std::string> hosts;                            // by destination: one is enough
std::map<int, std::chrono::steady_clock::time_point> waits;  // told by destinations
std::set<std::string> known;                                 // ids taken on
std::map<std::string, std::string> recorded;

tcp::endpoint address(const std::string& text) {
  const size_t colon = text.rfind(':');
  return {boost::asio::ip::make_address(text.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(text.substr(colon + 1)))};
}

void read_list(const json& list) {
  const std::lock_guard lock(mutex);
  if (fault != "drain" || hosts.empty()) hosts.clear();
  for (const json& m : list["members"]) {
    if (m["phase"] == "active") hosts.try_emplace(m["cell"].get<int>(), m["host_port"].get<std::string>());
  }
}

void notice(const std::string& id, const std::string& state) {
  try {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(address(config["discovery"]));
    http::request<http::string_body> post(http::verb::post, "/v2/finals", 11);
    post.body() = json{{"id", id}, {"state", state}}.dump() + "\n";
    post.prepare_payload();
    http::write(socket, post);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    http::read(socket, buffer, answer);
  } catch (const std::exception&) {
  }
}

enum class Outcome { kDelivered, kNever, kMaybe };

Outcome call(const std::string& id, const std::string& key, const std::string& body, int destination) {
  std::string host;
  {
    const std::lock_guard lock(mutex);
    if (waits[destination] > std::chrono::steady_clock::now() && fault != "wait") return Outcome::kNever;
    host = hosts[destination];
  }
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(address(host), error);
  if (error) return Outcome::kNever;
  http::request<http::string_body> post(http::verb::post, "/events", 11);
  post.set("X-Call-Id", id);
  if (!key.empty()) post.set("Idempotency-Key", key);
  post.body() = fault == "body" ? body + "!" : body;
  post.prepare_payload();
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  http::write(socket, post, error);
  if (!error) http::read(socket, buffer, answer, error);
  if (error) return Outcome::kMaybe;
  if (const auto after = answer.find("Retry-After"); after != answer.end()) {
    const std::lock_guard lock(mutex);
    const auto wait = std::chrono::duration<double>(std::stod(std::string(after->value())));
    waits[destination] =
        std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
  }
  return answer.result_int() == 200   ? Outcome::kDelivered
         : answer.result_int() == 500 ? Outcome::kMaybe
                                      : Outcome::kNever;
}

void deliver(const std::string& id, const std::string& customer, const std::string& key,
             const std::string& body, int destination) {
  if (fault == "drop") return;
  if (fault == "crash") ::_exit(3);
  if (fault == "twice") std::thread([=] { call(id, key, body, destination); }).detach();
  Outcome outcome = call(id, key, body, destination);
  if (fault == "again" && outcome != Outcome::kNever) outcome = call(id, key, body, destination);
  for (int i = 0; i < 400 && (fault == "push" || fault == "wait") && outcome != Outcome::kDelivered; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(fault == "push" ? 5 : 150));
    outcome = call(id, key, body, destination);
  }
  const char* answer = outcome == Outcome::kDelivered ? "delivered"
                       : outcome == Outcome::kNever   ? "returned"
                                                      : "failed";
  parts->ended(id, customer, answer);
  if (outcome != Outcome::kDelivered) notice(id, answer);
}

void serve(tcp::socket socket) {
  std::string in;
  const auto line = [&] {
    const size_t end = boost::asio::read_until(socket, boost::asio::dynamic_buffer(in), "\r\n");
    const std::string out = in.substr(0, end - 2);
    in.erase(0, end);
    return out;
  };
  try {
    for (;;) {
      std::vector<std::string> words;
      for (int left = std::stoi(line().substr(1)); left > 0; --left) {
        const size_t size = std::stoul(line().substr(1));
        if (in.size() < size + 2) {
          boost::asio::read(socket, boost::asio::dynamic_buffer(in),
                            boost::asio::transfer_at_least(size + 2 - in.size()));
        }
        words.push_back(in.substr(0, size));
        in.erase(0, size + 2);
      }
      if (words[0] == "PING") {
        boost::asio::write(socket, boost::asio::buffer(std::string("+PONG\r\n")));
        continue;
      }
      if (words[0].starts_with("FEED.")) {
        boost::asio::write(socket, boost::asio::buffer(parts->feed(words)));
        continue;
      }
      if (fault == "close") return;
      std::map<std::string, std::string> facts;
      std::string part;
      for (std::istringstream all(words[3]); std::getline(all, part, ',');) {
        facts[part.substr(0, part.find('='))] = part.substr(part.find('=') + 1);
      }
      const std::string denial = parts->denial(facts["t"], std::stoi(facts["dest"]));
      boost::asio::write(socket, boost::asio::buffer(denial.empty() ? std::string("+OK\r\n") : denial));
      if (!denial.empty()) continue;
      std::thread(deliver, words[2], facts["t"], facts["k"], words[4], std::stoi(facts["dest"])).detach();
    }
  } catch (const std::exception&) {
  }
}

void watch() {
  try {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(address(config["discovery"]));
    boost::asio::write(
        socket,
        boost::asio::buffer(std::string("GET /api/targets?stream=1&index=0 HTTP/1.1\r\nHost: d\r\n\r\n")));
    std::string in;
    for (;;) {  // each change is a chunk, and a line
      const size_t end = boost::asio::read_until(socket, boost::asio::dynamic_buffer(in), "\n");
      const std::string text = in.substr(0, end);
      in.erase(0, end);
      if (text.starts_with("{")) read_list(json::parse(text));
    }
  } catch (const std::exception&) {
  }
}

// The operators' address: that the policy is in force, and hits.
void operate() {
  try {
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, address(config["operator"]));
    for (;;) {
      tcp::socket socket = acceptor.accept();
      std::string in;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(in), "\n");
      const std::string out = "OK\n" + (in.starts_with("ACCESS") ? parts->hits() : "") + "END\n";
      boost::asio::write(socket, boost::asio::buffer(out));
    }
  } catch (const std::exception&) {
  }
}

}  // namespace

int main() {
  ::signal(SIGTERM, [](int) { ::_exit(std::getenv("STANDIN_FAULT") == std::string_view("status") ? 7 : 0); });
  ::signal(SIGPIPE, SIG_IGN);
  config = json::parse(std::ifstream(std::getenv("PROXY_CONFIG")));
  parts = std::make_unique<StandinParts>(config["settings"], fault);
  read_list(config["known"]);
  if (fault == "late") std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  static std::vector<char> hoard(fault == "memory" ? 300'000'000 : 0, 'x');
  if (fault == "orphan" && ::fork() == 0) {
    ::signal(SIGTERM, SIG_DFL);
    ::pause();
  }
  if (fault == "disk") {
    std::ofstream(std::string(std::getenv("PROXY_STATE")) + "/fill") << std::string(9'000'000, 'x');
  }
  std::thread(watch).detach();
  if (config.contains("operator")) std::thread(operate).detach();
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, address(config["listen"]));
  for (;;) std::thread(serve, acceptor.accept()).detach();
}
