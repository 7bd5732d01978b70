#include "platform.h"

#include <algorithm>
#include <cstdlib>

namespace review {
namespace {

struct Request {
  Clock::time_point first_byte;
  std::string first;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

std::optional<Request> read_request(Socket& socket) {
  Request out;
  if (!socket.await_byte()) return {};
  out.first_byte = Clock::now();
  std::string line;
  if (!socket.line(out.first)) return {};
  while (socket.line(line) && !line.empty()) {
    const size_t colon = std::min(line.find(':'), line.size());
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    const size_t value = line.find_first_not_of(' ', std::min(colon + 1, line.size()));
    out.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const size_t length = std::strtoul(out.headers["content-length"].c_str(), nullptr, 10);
  if (!socket.exactly(length, out.body)) return {};
  return out;
}

std::string chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

std::string answer_text(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

Endpoint::Endpoint(Record& record, std::string name, Answer answer)
    : record_(record),
      name_(std::move(name)),
      answer_(std::move(answer)),
      server_([this](Socket& socket) { serve(socket); }) {}

std::vector<Call> Endpoint::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

void Endpoint::serve(Socket& socket) {
  while (auto request = read_request(socket)) {
    const Call call{request->first_byte, Clock::now(), request->headers["x-call-id"],
                    request->headers["idempotency-key"], request->body};
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(call);
    }
    record_.line(name_ + " gets call " + call.id + " key " + call.key);
    const auto answer = answer_(call);
    record_.line(name_ + " answers call " + call.id + ": " +
                 (answer ? answer->substr(0, answer->find('\r')) : "a reset"));
    if (!answer) return socket.reset();
    if (!socket.send(*answer)) return;
  }
}

std::string Entry::json() const {
  return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"" + zone +
         R"(","flavor":"agent","cell":)" + std::to_string(cell) + ",\"phase\":\"" + phase +
         "\",\"size\":" + std::to_string(size) + ",\"up_since_ms\":0}";
}

Discovery::Discovery(Record& record, int revision, std::vector<Entry> entries)
    : record_(record), revision_(revision), server_([this](Socket& socket) { serve(socket); }) {
  const std::lock_guard lock(mutex_);
  for (Entry& entry : entries) entries_.emplace_back(revision, std::move(entry));
}

Discovery::~Discovery() {
  {
    const std::lock_guard lock(mutex_);
    over_ = true;
  }
  changed_.notify_all();
  server_.stop();
}

// The changes after a revision; at 0 the whole list.
std::string Discovery::list(long after) const {
  std::string members;
  for (const auto& [told, entry] : entries_) {
    if (after > 0 ? told <= after : entry.phase == "left") continue;
    members += (members.empty() ? "" : ",") + entry.json();
  }
  return "{\"revision\":" + std::to_string(revision_) + ",\"complete\":" + (after > 0 ? "false" : "true") +
         ",\"members\":[" + members + "]}";
}

std::string Discovery::known() const {
  const std::lock_guard lock(mutex_);
  return list(0);
}

Clock::time_point Discovery::tell(const Entry& change) {
  const std::lock_guard lock(mutex_);
  const long before = revision_++;
  std::erase_if(entries_, [&](const auto& entry) { return entry.second.id == change.id; });
  entries_.emplace_back(revision_, change);
  for (Watch* watch : watches_) watch->lines.push_back(list(before));
  record_.line("discovery tells: " + list(before));
  changed_.notify_all();
  return Clock::now();
}

void Discovery::down(bool on) {
  record_.line(on ? "discovery goes down: the agent is silent" : "discovery is back");
  const std::lock_guard lock(mutex_);
  down_ = on;
  changed_.notify_all();
}

std::vector<Notice> Discovery::notices() const {
  const std::lock_guard lock(mutex_);
  return notices_;
}

void Discovery::serve(Socket& socket) {
  while (const auto request = read_request(socket)) {
    if (request->first.starts_with("POST /v2/finals")) {
      finals(socket, request->body);
      continue;
    }
    const size_t index = request->first.find("index=");
    if (index == std::string::npos) return;
    record_.line("a watch is asked for: " + request->first);
    return watch(socket, std::strtol(request->first.c_str() + index + 6, nullptr, 10));
  }
}

void Discovery::finals(Socket& socket, const std::string& body) {
  for (size_t from = 0; from < body.size();) {
    const size_t end = std::min(body.find('\n', from), body.size());
    const std::string line = body.substr(from, end - from);
    from = end + 1;
    if (line.empty()) continue;
    record_.line("notice " + line);
    const std::lock_guard lock(mutex_);
    notices_.push_back({Clock::now(), line});
  }
  socket.send("HTTP/1.1 204 No Content\r\n\r\n");
}

void Discovery::watch(Socket& socket, long index) {
  Watch own;
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return !down_ || over_; });
  if (over_) return;
  watches_.insert(&own);
  own.lines.push_front(list(index));
  bool going = socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  while (going && !over_) {
    std::string text = "\n";  // each 2 s, while nothing changes
    if (!own.lines.empty()) {
      text = own.lines.front() + "\n";
      own.lines.pop_front();
    }
    going = socket.send(chunk(text));
    if (going && own.lines.empty()) {
      changed_.wait_for(lock, std::chrono::seconds(2), [&] { return over_ || down_ || !own.lines.empty(); });
      changed_.wait(lock, [this] { return !down_ || over_; });
    }
  }
  watches_.erase(&own);
}

}  // namespace review
