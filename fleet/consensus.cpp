#include "consensus.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <memory>

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

constexpr size_t kMostServers = 64;
constexpr size_t kMostName = 64;
constexpr size_t kMostBytes = 2'000'000;  // of an entry or a snapshot

// The library frees what is handed to it.
raft_buffer buffer_of(std::string_view bytes) {
  raft_buffer out;
  out.base = raft_malloc(std::max<size_t>(1, bytes.size()));
  out.len = bytes.size();
  if (!bytes.empty()) std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}

std::string_view view_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

raft_configuration configuration_of(const std::vector<Consensus::Server>& servers) {
  raft_configuration out;
  raft_configuration_init(&out);
  for (const auto& s : servers) raft_configuration_add(&out, s.id, s.name.c_str(), s.role);
  return out;
}

std::vector<Consensus::Server> servers_of(const raft_configuration& from) {
  std::vector<Consensus::Server> out;
  for (unsigned i = 0; i < from.n; ++i) {
    out.push_back({from.servers[i].id, from.servers[i].address, from.servers[i].role});
  }
  return out;
}

json packed(const std::vector<Consensus::Server>& servers) {
  json out = json::array();
  for (const auto& s : servers) out.push_back({s.id, s.name, static_cast<unsigned>(s.role)});
  return out;
}

std::vector<Consensus::Server> unpacked(const json& from) {
  want(from.is_array() && from.size() <= kMostServers);
  std::vector<Consensus::Server> out;
  for (const json& s : from) {
    const uint64_t role = number_of(at(s, 2));
    out.push_back({number_of(at(s, 0)), text_of(at(s, 1), kMostName), static_cast<int>(role)});
    want(out.back().id > 0 && role <= RAFT_SPARE);
  }
  return out;
}

json packed(const Consensus::Stored::Entry& e) { return {e.term, e.type, bytes_of(e.bytes)}; }

Consensus::Stored::Entry entry_of(const json& from) {
  Consensus::Stored::Entry out;
  out.term = number_of(at(from, 0));
  const uint64_t type = number_of(at(from, 1));
  want(type >= RAFT_COMMAND && type <= RAFT_CHANGE);
  out.type = static_cast<unsigned>(type);
  out.bytes = bytes_in(at(from, 2));
  want(out.bytes.size() <= kMostBytes);
  return out;
}

// An array as the library takes it over; null where there is none. All of them lie in one block, their batch:
// of entries that it has already the library frees nothing but with the batch of the others.
raft_entry* entries_of(const std::vector<Consensus::Stored::Entry>& from) {
  if (from.empty()) return nullptr;
  std::string all;
  for (const auto& e : from) all += e.bytes;
  auto* const batch = static_cast<char*>(buffer_of(all).base);
  auto* out = static_cast<raft_entry*>(raft_malloc(from.size() * sizeof(raft_entry)));
  size_t offset = 0;
  for (size_t i = 0; i < from.size(); ++i) {
    out[i].term = from[i].term;
    out[i].type = static_cast<unsigned short>(from[i].type);
    out[i].buf = {batch + offset, from[i].bytes.size()};
    out[i].batch = batch;
    offset += from[i].bytes.size();
  }
  return out;
}

raft_snapshot* snapshot_of(const Consensus::Stored::Snapshot& from) {
  auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  out->index = from.index;
  out->term = from.term;
  out->configuration = configuration_of(from.servers);
  out->configuration_index = from.servers_index;
  out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  out->bufs[0] = buffer_of(from.bytes);
  out->n_bufs = 1;
  return out;
}

}  // namespace

// ---- Records ----

Consensus::Stored Consensus::Stored::founded(const std::vector<Server>& servers) {
  Stored out;
  out.term = 1;
  raft_configuration conf = configuration_of(servers);
  raft_buffer bytes;
  raft_configuration_encode(&conf, &bytes);
  out.entries.push_back({1, RAFT_CHANGE, std::string(view_of(bytes))});
  raft_free(bytes.base);
  raft_configuration_close(&conf);
  return out;
}

bool Consensus::Stored::take(const json& record) {
  const std::string tag = text_of(at(record, 0), kMostName);
  if (tag == "term") {
    term = number_of(at(record, 1));
    vote = 0;
  } else if (tag == "vote") {
    vote = number_of(at(record, 1));
  } else if (tag == "entry") {
    const uint64_t index = number_of(at(record, 1));
    if (entries.empty() && !snapshot) first = index;
    want(index == first + entries.size());
    entries.push_back(entry_of(at(record, 2)));
  } else if (tag == "cut") {
    const uint64_t index = number_of(at(record, 1));
    want(index >= first && index <= first + entries.size());
    entries.resize(index - first);
  } else if (tag == "snapshot") {
    Snapshot s;
    s.index = number_of(at(record, 1));
    s.term = number_of(at(record, 2));
    s.servers_index = number_of(at(record, 3));
    s.servers = unpacked(at(record, 4));
    s.bytes = bytes_in(at(record, 5));
    first = number_of(at(record, 6));
    want(entries.empty() && first <= s.index + 1);
    snapshot = std::move(s);
  } else {
    return false;
  }
  return true;
}

std::vector<json> Consensus::Stored::records() const {
  std::vector<json> out;
  if (term > 0) out.push_back({"term", term});
  if (vote > 0) out.push_back({"vote", vote});
  if (snapshot) {
    out.push_back({"snapshot", snapshot->index, snapshot->term, snapshot->servers_index,
                   packed(snapshot->servers), bytes_of(snapshot->bytes), first});
  }
  for (size_t i = 0; i < entries.size(); ++i) out.push_back({"entry", first + i, packed(entries[i])});
  return out;
}

// ---- What C-Raft asks of its host ----

struct Consensus::Glue {
  static Consensus& of(raft_io* io) { return *static_cast<Consensus*>(io->impl); }
  static Consensus& of(raft_fsm* fsm) { return *static_cast<Consensus*>(fsm->data); }

  static int init(raft_io*, raft_id, const char*) { return 0; }
  static void close(raft_io* io, raft_io_close_cb done) { done(io); }

  static int load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                  raft_entry** entries, size_t* n) {
    const Stored& from = of(io).stored_;
    *term = from.term;
    *vote = from.vote;
    *snapshot = from.snapshot ? snapshot_of(*from.snapshot) : nullptr;
    *first = from.first;
    *entries = entries_of({from.entries.begin(), from.entries.end()});
    *n = from.entries.size();
    return 0;
  }

  static int start(raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
    of(io).tick_ = tick;
    of(io).recv_ = recv;
    return 0;
  }

  static int never(raft_io*, const raft_configuration*) { return RAFT_INVALID; }

  static int set_term(raft_io* io, raft_term term) {
    Consensus& self = of(io);
    self.stored_.term = term;
    self.stored_.vote = 0;
    self.host_.record({"term", self.stored_.term});
    return 0;
  }

  static int set_vote(raft_io* io, raft_id vote) {
    of(io).stored_.vote = vote;
    of(io).host_.record({"vote", of(io).stored_.vote});
    return 0;
  }

  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    Consensus& self = of(io);
    self.host_.carry(message->server_address, self.json_of(*message));
    if (done != nullptr) self.later([=] { done(request, 0); });  // a hand-over of the reign wants none
    return 0;
  }

  static int append(raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned n,
                    raft_io_append_cb done) {
    Consensus& self = of(io);
    for (unsigned i = 0; i < n; ++i) {
      Stored::Entry e{entries[i].term, entries[i].type, std::string(view_of(entries[i].buf))};
      self.host_.record({"entry", self.stored_.first + self.stored_.entries.size(), fleet::packed(e)});
      self.stored_.entries.push_back(std::move(e));
    }
    self.later([=] { done(request, 0); });
    return 0;
  }

  static int truncate(raft_io* io, raft_index index) {
    Stored& log = of(io).stored_;
    if (index < log.first || index > log.first + log.entries.size()) return RAFT_INVALID;
    log.entries.resize(index - log.first);
    of(io).host_.record({"cut", static_cast<uint64_t>(index)});
    return 0;
  }

  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* from, raft_io_snapshot_put_cb done) {
    Consensus& self = of(io);
    Stored& log = self.stored_;
    std::string bytes;
    for (unsigned i = 0; i < from->n_bufs; ++i) bytes += view_of(from->bufs[i]);
    log.snapshot = Stored::Snapshot{from->index, from->term, from->configuration_index,
                                    servers_of(from->configuration), std::move(bytes)};
    const uint64_t last = log.first + log.entries.size();  // one past it
    if (trailing == 0 || last <= from->index) {
      log.entries.clear();
      log.first = from->index + 1;
    }
    while (!log.entries.empty() && log.first + trailing <= from->index) {
      log.entries.pop_front();
      ++log.first;
    }
    self.host_.compacted();
    self.later([=] { done(request, 0); });
    return 0;
  }

  static int snapshot_get(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    Consensus& self = of(io);
    if (!self.stored_.snapshot) return RAFT_NOTFOUND;
    self.later([=, &self] { done(request, snapshot_of(*self.stored_.snapshot), 0); });
    return 0;
  }

  static raft_time time(raft_io* io) { return static_cast<raft_time>(of(io).now_ / kMs); }

  static int random(raft_io* io, int min, int max) {
    return max <= min ? min : min + static_cast<int>(of(io).chance_(static_cast<uint32_t>(max - min)));
  }

  static void changed(raft_change* request, int) {
    static_cast<Consensus*>(request->data)->changing_ = false;
    delete request;
  }

  static int apply(raft_fsm* fsm, const raft_buffer* command, void** result) {
    *result = nullptr;
    of(fsm).host_.committed(view_of(*command));
    return 0;
  }

  static int snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* n) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*buffers)[0] = buffer_of(of(fsm).host_.state());
    *n = 1;
    return 0;
  }

  static int restore(raft_fsm* fsm, raft_buffer* from) {
    try {
      of(fsm).host_.restore(view_of(*from));
    } catch (const Bad&) {
      return RAFT_CORRUPT;
    }
    raft_free(from->base);
    return 0;
  }
};

Consensus::Consensus(Settings settings, Host& host, Stored stored, uint64_t seed)
    : settings_(std::move(settings)), host_(host), stored_(std::move(stored)), chance_(seed, 17) {
  io_.version = 1;
  io_.impl = this;
  io_.init = Glue::init;
  io_.close = Glue::close;
  io_.load = Glue::load;
  io_.start = Glue::start;
  io_.bootstrap = Glue::never;
  io_.recover = Glue::never;
  io_.set_term = Glue::set_term;
  io_.set_vote = Glue::set_vote;
  io_.send = Glue::send;
  io_.append = Glue::append;
  io_.truncate = Glue::truncate;
  io_.snapshot_put = Glue::snapshot_put;
  io_.snapshot_get = Glue::snapshot_get;
  io_.time = Glue::time;
  io_.random = Glue::random;
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = Glue::apply;
  fsm_.snapshot = Glue::snapshot;
  fsm_.restore = Glue::restore;
}

Consensus::~Consensus() {
  if (!started_) return;
  raft_close(&raft_, nullptr);
  finish();
}

void Consensus::start(Time now) {
  now_ = now;
  const auto ms = [](Time t) { return static_cast<unsigned>(std::max<Time>(1, t / kMs)); };
  int bad = raft_init(&raft_, &io_, &fsm_, settings_.id, settings_.name.c_str());
  if (bad == 0) {
    started_ = true;
    raft_set_election_timeout(&raft_, ms(settings_.election));
    raft_set_heartbeat_timeout(&raft_, ms(settings_.heartbeat));
    raft_set_install_snapshot_timeout(&raft_, ms(4 * settings_.election));
    raft_set_snapshot_threshold(&raft_, settings_.snapshot_after);
    raft_set_snapshot_trailing(&raft_, settings_.trailing);
    raft_set_max_catch_up_round_duration(&raft_, ms(4 * settings_.election));
    raft_set_pre_vote(&raft_, true);
    bad = raft_start(&raft_);
  }
  if (bad != 0) {
    failed_ = raft_strerror(bad);
    return;
  }
  next_ = now + settings_.heartbeat;
  finish();
}

void Consensus::finish() {
  while (!later_.empty()) {
    for (const auto& call : std::exchange(later_, {})) call();
  }
  if (started_ && failed_.empty() && raft_state(&raft_) == RAFT_UNAVAILABLE) failed_ = raft_errmsg(&raft_);
}

void Consensus::woke(Time now) {
  now_ = std::max(now_, now);
  if (now < next_ || !failed_.empty()) return;
  next_ = now + settings_.heartbeat;
  tick_(&io_);
  finish();
}

bool Consensus::leads() const { return started_ && raft_.state == RAFT_LEADER; }

std::string Consensus::leader() const {
  if (!started_) return "";
  raft_id id = 0;
  const char* name = nullptr;
  raft_leader(const_cast<raft*>(&raft_), &id, &name);
  return id == 0 || name == nullptr ? "" : name;
}

std::vector<Consensus::Server> Consensus::servers() const { return servers_of(raft_.configuration); }

uint64_t Consensus::fingerprint(Time now) const {
  uint64_t out = XXH64(&now_, 0, 5);
  const auto mix = [&](uint64_t value) { out = XXH64(&value, sizeof value, out); };
  for (const json& record : stored_.records()) {
    const std::string bytes = to_cbor(record);
    out = XXH64(bytes.data(), bytes.size(), out);
  }
  mix(raft_.state);
  mix(raft_.commit_index);
  mix(raft_.last_applied);
  mix(static_cast<uint64_t>(now / kMs - static_cast<Time>(raft_.election_timer_start)));
  mix(next_ == kNever ? 0 : static_cast<uint64_t>(next_ - now));
  if (raft_.state == RAFT_FOLLOWER) {
    mix(raft_.follower_state.current_leader.id);
    mix(raft_.follower_state.randomized_election_timeout);
  } else if (raft_.state == RAFT_CANDIDATE) {
    mix(raft_.candidate_state.randomized_election_timeout);
    mix(raft_.candidate_state.in_pre_vote);
    for (unsigned i = 0; raft_.candidate_state.votes != nullptr && i < raft_.configuration.n; ++i) {
      mix(raft_.candidate_state.votes[i]);
    }
  } else if (raft_.state == RAFT_LEADER) {
    for (unsigned i = 0; i < raft_.configuration.n; ++i) {
      const raft_progress& p = raft_.leader_state.progress[i];
      for (const uint64_t v :
           {uint64_t{p.state}, uint64_t{p.next_index}, uint64_t{p.match_index}, uint64_t{p.recent_recv}}) {
        mix(v);
      }
    }
  }
  return out;
}

// ---- Messages ----

json Consensus::json_of(const raft_message& m) const {
  json out = {settings_.id, settings_.name, m.type, m.server_id};
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& v = m.request_vote;
      out.insert(out.end(),
                 {v.term, v.candidate_id, v.last_log_index, v.last_log_term, v.disrupt_leader, v.pre_vote});
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& v = m.request_vote_result;
      out.insert(out.end(), {json(v.term), json(v.vote_granted), json(static_cast<unsigned>(v.pre_vote))});
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& v = m.append_entries;
      json entries = json::array();
      for (unsigned i = 0; i < v.n_entries; ++i) {
        const raft_entry& e = v.entries[i];
        entries.push_back(fleet::packed(Stored::Entry{e.term, e.type, std::string(view_of(e.buf))}));
      }
      out.insert(out.end(), {json(v.term), json(v.prev_log_index), json(v.prev_log_term),
                             json(v.leader_commit), entries});
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& v = m.append_entries_result;
      out.insert(out.end(), {v.term, v.rejected, v.last_log_index});
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& v = m.install_snapshot;
      out.insert(out.end(),
                 {json(v.term), json(v.last_index), json(v.last_term), fleet::packed(servers_of(v.conf)),
                  json(v.conf_index), bytes_of(view_of(v.data))});
      break;
    }
    default: {
      const auto& v = m.timeout_now;
      out.insert(out.end(), {v.term, v.last_log_index, v.last_log_term});
    }
  }
  return out;
}

raft_message Consensus::message_of(const json& from, std::string& address) const {
  raft_message m{};
  m.server_id = number_of(at(from, 0));
  address = text_of(at(from, 1), kMostName);
  m.server_address = address.c_str();
  m.type = static_cast<unsigned short>(number_of(at(from, 2)));
  const auto number = [&](size_t i) { return number_of(at(from, 3 + i)); };
  const auto flag = [&](size_t i) {
    want(at(from, 3 + i).is_boolean());
    return at(from, 3 + i).get<bool>();
  };
  // All that can be wrong is read before anything is handed over.
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE:
      m.request_vote = {number(1), number(2), number(3), number(4), flag(5), flag(6)};
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      want(number(3) <= raft_tribool_false);
      m.request_vote_result = {number(1), flag(2), static_cast<raft_tribool>(number(3))};
      break;
    case RAFT_IO_APPEND_ENTRIES: {
      m.append_entries = {number(1), number(2), number(3), number(4), nullptr, 0};
      std::vector<Stored::Entry> entries;
      want(at(from, 8).is_array());
      for (const json& e : at(from, 8)) entries.push_back(entry_of(e));
      m.append_entries.n_entries = static_cast<unsigned>(entries.size());
      m.append_entries.entries = entries_of(entries);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      m.append_entries_result = {number(1), number(2), number(3)};
      break;
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto servers = unpacked(at(from, 7));
      const std::string bytes = bytes_in(at(from, 9));
      m.install_snapshot = {number(1), number(2), number(3), {}, number(5), {}};
      m.install_snapshot.conf = configuration_of(servers);
      m.install_snapshot.data = buffer_of(bytes);
      break;
    }
    case RAFT_IO_TIMEOUT_NOW:
      m.timeout_now = {number(1), number(2), number(3)};
      break;
    default:
      throw Bad{};
  }
  return m;
}

void Consensus::received(Time now, const json& from) {
  now_ = std::max(now_, now);
  if (!failed_.empty() || !started_) return;
  if (number_of(at(from, 3)) != settings_.id) return;  // for the server that this name was before
  std::string address;
  raft_message m = message_of(from, address);
  recv_(&io_, &m);
  finish();
}

// ---- A leader's part ----

bool Consensus::propose(const std::string& command) {
  if (!leads()) return false;
  auto request = std::make_unique<struct raft_apply>();
  const raft_buffer bytes = buffer_of(command);
  if (raft_apply(&raft_, request.get(), &bytes, 1, [](struct raft_apply* r, int, void*) { delete r; }) != 0) {
    raft_free(bytes.base);
    return false;
  }
  (void)request.release();
  finish();
  return true;
}

bool Consensus::change(const std::function<int(raft_change*)>& begin) {
  if (!leads() || changing_) return false;
  auto request = std::make_unique<raft_change>();
  request->data = this;
  changing_ = true;
  if (begin(request.get()) != 0) {
    changing_ = false;
    return false;
  }
  (void)request.release();
  finish();
  return true;
}

bool Consensus::add(const Server& server) {
  return change(
      [&](raft_change* r) { return raft_add(&raft_, r, server.id, server.name.c_str(), Glue::changed); });
}

bool Consensus::promote(uint64_t id) {
  return change([&](raft_change* r) { return raft_assign(&raft_, r, id, RAFT_VOTER, Glue::changed); });
}

bool Consensus::remove(uint64_t id) {
  return change([&](raft_change* r) { return raft_remove(&raft_, r, id, Glue::changed); });
}

void Consensus::transfer() {
  if (!leads()) return;
  auto request = std::make_unique<struct raft_transfer>();
  if (raft_transfer(&raft_, request.get(), 0, [](struct raft_transfer* r) { delete r; }) != 0) return;
  (void)request.release();
  finish();
}

}  // namespace umberhoist::fleet
