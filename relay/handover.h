// What two processes of one relay say to each other while one takes over from the other: frames over a Unix
// socket in the folder that lasts, one socket for each place of a journal.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace firspool::relay {

// The successor says kReady and kWritten, the predecessor the others.
enum class Word : char {
  kReady = 'R',    // it serves from the first kShare on
  kShare = 'S',    // JSON: what the predecessor still uses, and what it knows
  kMessage = 'M',  // the records of a message that is the successor's once it is kWritten
  kWritten = 'K',  // a message's id
};

class Link : public std::enable_shared_from_this<Link> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;
  using Heard = std::function<void(Word word, const std::string& text)>;
  using Lost = std::function<void()>;  // the other process closed its end, or is gone

  explicit Link(Socket socket) : socket_(std::move(socket)) {}

  void start(Heard heard, Lost lost);
  void say(Word word, std::string_view text);
  void close();                              // nothing is heard after it
  size_t unsent() const { return unsent_; }  // bytes that the other process has not read

 private:
  void read();
  void write();
  void lost();

  Socket socket_;
  Heard heard_;
  Lost lost_;
  std::array<char, 5> head_;
  std::string text_;
  std::deque<std::string> out_;
  size_t unsent_ = 0;
};

class Handover {
 public:
  using Asked = std::function<void(std::shared_ptr<Link>)>;
  static constexpr auto kPause =
      std::chrono::milliseconds(20);  // before the other process is looked for again

  // Listens for a successor. Where the system does not let it, it is tried again and again: the process
  // serves meanwhile.
  Handover(boost::asio::io_context& io, const std::filesystem::path& folder, int place, Asked asked);

  // Nothing: nobody listens there.
  static std::shared_ptr<Link> reach(boost::asio::io_context& io, const std::filesystem::path& folder,
                                     int place);

 private:
  void listen();
  void accept();
  void after_pause(void (Handover::*then)());

  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::filesystem::path folder_;
  int place_;
  bool told_ = false;  // that a successor cannot ask
  Asked asked_;
};

}  // namespace firspool::relay
