#include "customer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>

namespace umberhoist::ctl {
namespace {

using tcp = boost::asio::ip::tcp;
using nlohmann::json;

constexpr auto kPatience = std::chrono::seconds(5);

// A relay's clients' address: one command, one reply.
class Resp {
 public:
  explicit Resp(const std::string& address) : address_(address), socket_(io_) {
    const size_t colon = address.rfind(':');
    Error bad;
    const auto host = boost::asio::ip::make_address(address.substr(0, colon), bad);
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (bad || port <= 0 || port > 65535) throw std::runtime_error(address + " is no HOST:PORT");
    socket_.async_connect({host, static_cast<uint16_t>(port)}, [this](const Error& error) { done(error); });
    wait();
  }

  std::string ask(const std::vector<std::string>& words) {
    std::string call = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& word : words) {
      call += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
    }
    boost::asio::async_write(socket_, boost::asio::buffer(call), [this](const Error& e, size_t) { done(e); });
    wait();
    boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(in_), "\r\n",
                                  [this](const Error& e, size_t) { done(e); });
    wait();
    const std::string line = taken(in_.find("\r\n"));
    if (!line.starts_with("$")) return line;
    const size_t size = std::stoul(line.substr(1));
    boost::asio::async_read(socket_, boost::asio::dynamic_buffer(in_),
                            boost::asio::transfer_at_least(size + 2 - std::min(size + 2, in_.size())),
                            [this](const Error& e, size_t) { done(e); });
    wait();
    return taken(size);
  }

  json ask_json(const std::vector<std::string>& words) {
    const std::string text = ask(words);
    if (!text.starts_with("{")) throw std::runtime_error(address_ + ": " + text);
    return json::parse(text);
  }

 private:
  using Error = boost::system::error_code;

  void done(const Error& error) {
    pending_ = false;
    failed_ = error;
  }

  // For what was begun last.
  void wait() {
    pending_ = true;
    io_.restart();
    io_.run_for(kPatience);
    if (pending_) throw std::runtime_error(address_ + ": no answer in time");
    if (failed_) throw std::runtime_error(address_ + ": " + failed_.message());
  }

  // A line or a bulk string, with its end.
  std::string taken(size_t size) {
    const std::string out = in_.substr(0, size);
    in_.erase(0, size + 2);
    return out;
  }

  std::string address_;
  boost::asio::io_context io_;
  tcp::socket socket_;
  std::string in_;
  bool pending_ = false;
  Error failed_;
};

void keep(const std::string& file, const std::string& cursor) {
  if (file.empty()) return;
  const std::string fresh = file + ".new";
  std::ofstream(fresh) << cursor << std::flush;
  if (std::rename(fresh.c_str(), file.c_str()) != 0) throw std::runtime_error("cannot write " + file);
}

bool print(const json& said) {
  const json none = json::array();
  const auto list = [&](const char* key) { return said.contains(key) ? said[key] : none; };
  for (const json& gap : list("gaps")) std::cout << "gap " << gap.dump() << "\n";
  for (const json& o : list("outcomes")) {
    std::cout << o.at("origin").get<std::string>() << " " << o.at("number") << " "
              << o.at("id").get<std::string>() << " " << o.at("answer").get<std::string>() << " by rule "
              << (o.value("rule", "").empty() ? "-" : o.value("rule", "")) << "\n";
  }
  return list("gaps").empty();
}

int read_from(const std::string& relay, const Feed& feed) {
  Resp resp(relay);
  std::string cursor;
  if (!feed.cursor_file.empty()) {
    std::ifstream in(feed.cursor_file);
    cursor.assign(std::istreambuf_iterator<char>(in), {});
  }
  std::vector<std::string> open = {"FEED.OPEN", feed.customer, feed.subscription};
  if (!cursor.empty()) open.push_back(cursor);
  const json opened = resp.ask_json(open);
  bool whole = print(opened);
  const auto session = opened.at("session").get<std::string>();
  cursor = opened.at("cursor").get<std::string>();
  size_t taken = 0;
  for (;;) {
    const json batch = resp.ask_json({"FEED.READ", session, cursor});
    whole = print(batch) && whole;
    cursor = batch.at("cursor").get<std::string>();
    keep(feed.cursor_file, cursor);
    if (const std::string answer = resp.ask({"FEED.ACK", session, cursor}); !answer.starts_with("+")) {
      throw std::runtime_error(relay + ": " + answer);
    }
    taken += batch.at("outcomes").size();
    if (!batch.at("outcomes").empty()) continue;
    for (const json& missing : batch.at("missing")) std::cout << "missing " << missing.dump() << "\n";
    std::cout << taken << " outcomes of " << feed.customer << "/" << feed.subscription << "\n";
    return whole && batch.at("missing").empty() ? 0 : 1;
  }
}

}  // namespace

int read_feed(const std::vector<std::string>& relays, const Feed& feed) {
  for (size_t i = 0;; ++i) {
    try {
      return read_from(relays[i], feed);
    } catch (const std::exception& fault) {
      if (i + 1 == relays.size()) throw;
      std::cerr << "umberhoistctl: " << fault.what() << "; asking the next\n";
    }
  }
}

int hand_in(const std::vector<std::string>& relays, const HandIn& what) {
  std::map<std::string, int> answers;
  std::random_device chance;
  const uint64_t run = (uint64_t{chance()} << 32) | chance();
  for (int i = 0; i < what.count; ++i) {
    const std::string& relay = relays[static_cast<size_t>(i) % relays.size()];
    const std::string id = "m" + std::to_string(run % 1'000'000'007) + "-" + std::to_string(i);
    std::string answer;
    try {
      answer = Resp(relay).ask({"MSG.PUT", "0", id,
                                "c=" + what.message_class + ",t=" + what.customer + ",k=" + id +
                                    ",d=" + std::to_string(what.within_ms) +
                                    ",dest=" + std::to_string(what.destination),
                                "{}"});
    } catch (const std::exception& fault) {
      answer = fault.what();
    }
    ++answers[answer];
  }
  for (const auto& [answer, count] : answers) std::cout << count << " times " << answer << "\n";
  return answers.size() == 1 && answers.begin()->first == "+OK" ? 0 : 1;
}

}  // namespace umberhoist::ctl
