// The side that clients connect to: RESP2 over TCP.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "directory.h"
#include "message.h"

namespace firspool::relay {

class Clients {
 public:
  using Answer = std::function<void(std::string line)>;  // called once, with a RESP line without its end
  using Put = std::function<void(Handed message, Answer answer)>;
  using Words = std::vector<std::string>;
  // `words` begins with the command, and its last byte came at `read`. What it throws as
  // std::invalid_argument is the client's error line.
  using Command = std::function<void(const Words& words, Time read, Answer answer)>;
  using Busy = std::function<std::string()>;  // the line for a client whose request is not read

  struct Limits {
    size_t connections = 0;
    size_t bytes = 0;  // of requests that are not whole, of all connections together
  };
  static constexpr Time kMostRequest = 2'500'000;  // a request that is not whole by then never is

  // Listens at once, on the socket that the platform holds if there is one. Throws AddressFault.
  Clients(boost::asio::io_context& io, const tcp::endpoint& listen, std::optional<int> inherited,
          Limits limits, Put put, Busy busy);
  ~Clients();

  // Nothing more is read: what was read before is answered, and each connection ends behind that. For the
  // process's last turn.
  void end_reading();

  // More commands beside PING and MSG.PUT; `word` is in capitals, and clients may write it as they like.
  void add(const std::string& word, Command command) { commands_[word] = std::move(command); }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Each holds a descriptor; those that only wait for their peer's end are among them.
  size_t open() const { return sessions_.size() + lingering_.size(); }

  // Connections that gave their places up to clients that waited for one, and requests that were not
  // accepted.
  struct GivenUp {
    uint64_t quiet = 0;  // nothing ever came on them
    uint64_t part = 0;   // a part of a request came, and did not go on
    uint64_t gone = 0;   // requests whose senders had gone when they were read
  };
  const GivenUp& given_up() const { return given_up_; }

  // So many connections at once from now on; those that are open stay.
  void limit(size_t most);

  // Closes the connections that are open, each only between requests; one that is new gets a moment for its
  // first. Takes no new connection but those that wait already, as there are places for them. Another process
  // may accept from an inherited socket: what waits there is left to it.
  void finish();

 private:
  class Session;

  using Sessions = std::list<std::shared_ptr<Session>>;

  bool full() const { return open() >= limits_.connections; }
  void accept();
  // Takes the next client of the backlog at once, if one waits.
  boost::system::error_code accept_next();
  void pause();
  void make_room();
  void drain();
  void admit(tcp::socket socket);
  Time earliest_arrival();
  void lingers(Sessions::iterator place);
  void forget(Sessions::iterator place, bool lingered);
  void evict_largest();

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  bool inherited_;
  Limits limits_;
  size_t buffered_ = 0;
  std::map<std::string, Command> commands_;
  Busy busy_;
  bool accepting_ = false;  // a wait for a client, or a pause after an error, is on
  bool finishing_ = false;
  bool reading_over_ = false;
  Time full_since_ = 0;  // since then connections may wait in the backlog; 0: none does
  GivenUp given_up_;
  Sessions sessions_;
  Sessions lingering_;  // the longest at it first
};

}  // namespace firspool::relay
