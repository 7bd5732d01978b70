// Implements C-Raft's raft_io and raft_fsm on Consensus::Host. Completion callbacks are deferred: C-Raft gets
// them from run_deferred(), after the call that started the request.
#include "raft_conversion.h"

namespace umberhoist::fleet {

struct Consensus::RaftAdapter {
  static Consensus& self_of(raft_io* io) { return *static_cast<Consensus*>(io->impl); }
  static Consensus& self_of(raft_fsm* fsm) { return *static_cast<Consensus*>(fsm->data); }

  static int init(raft_io*, raft_id, const char*) { return 0; }
  static void close(raft_io* io, raft_io_close_cb done) { done(io); }

  static int load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                  raft_entry** entries, size_t* n) {
    const PersistentState& from = self_of(io).persistent_state_;
    *term = from.term;
    *vote = from.vote;
    *snapshot = from.snapshot ? snapshot_of(*from.snapshot) : nullptr;
    *first = from.first_index;
    *entries = entries_of({from.entries.begin(), from.entries.end()});
    *n = from.entries.size();
    return 0;
  }

  static int start(raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
    self_of(io).tick_ = tick;
    self_of(io).recv_ = recv;
    return 0;
  }

  static int unsupported(raft_io*, const raft_configuration*) { return RAFT_INVALID; }

  static int set_term(raft_io* io, raft_term term) {
    Consensus& self = self_of(io);
    self.persistent_state_.term = term;
    self.persistent_state_.vote = 0;
    self.host_.append_record({"term", self.persistent_state_.term});
    return 0;
  }

  static int set_vote(raft_io* io, raft_id vote) {
    self_of(io).persistent_state_.vote = vote;
    self_of(io).host_.append_record({"vote", self_of(io).persistent_state_.vote});
    return 0;
  }

  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    Consensus& self = self_of(io);
    self.host_.send_message(message->server_address, self.encode_message(*message));
    if (done != nullptr) self.defer([=] { done(request, 0); });  // null for a leadership transfer
    return 0;
  }

  static int append(raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned n,
                    raft_io_append_cb done) {
    Consensus& self = self_of(io);
    for (unsigned i = 0; i < n; ++i) {
      PersistentState::Entry e{entries[i].term, entries[i].type, std::string(view_of(entries[i].buf))};
      self.host_.append_record({"entry",
                                self.persistent_state_.first_index + self.persistent_state_.entries.size(),
                                fleet::encode(e)});
      self.persistent_state_.entries.push_back(std::move(e));
    }
    self.defer([=] { done(request, 0); });
    return 0;
  }

  static int truncate(raft_io* io, raft_index index) {
    PersistentState& log = self_of(io).persistent_state_;
    if (index < log.first_index || index > log.first_index + log.entries.size()) return RAFT_INVALID;
    log.entries.resize(index - log.first_index);
    self_of(io).host_.append_record({"cut", static_cast<uint64_t>(index)});
    return 0;
  }

  static int snapshot_put(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* from, raft_io_snapshot_put_cb done) {
    Consensus& self = self_of(io);
    PersistentState& log = self.persistent_state_;
    std::string bytes;
    for (unsigned i = 0; i < from->n_bufs; ++i) bytes += view_of(from->bufs[i]);
    log.snapshot = PersistentState::Snapshot{from->index, from->term, from->configuration_index,
                                             servers_of(from->configuration), std::move(bytes)};
    const uint64_t end = log.first_index + log.entries.size();
    if (trailing == 0 || end <= from->index) {
      log.entries.clear();
      log.first_index = from->index + 1;
    }
    while (!log.entries.empty() && log.first_index + trailing <= from->index) {
      log.entries.pop_front();
      ++log.first_index;
    }
    self.host_.rewrite_records();
    self.defer([=] { done(request, 0); });
    return 0;
  }

  static int snapshot_get(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    Consensus& self = self_of(io);
    if (!self.persistent_state_.snapshot) return RAFT_NOTFOUND;
    self.defer([=, &self] { done(request, snapshot_of(*self.persistent_state_.snapshot), 0); });
    return 0;
  }

  static raft_time time(raft_io* io) { return static_cast<raft_time>(self_of(io).now_ / kMs); }

  static int random(raft_io* io, int min, int max) {
    return max <= min ? min : min + static_cast<int>(self_of(io).rng_(static_cast<uint32_t>(max - min)));
  }

  static int apply(raft_fsm* fsm, const raft_buffer* command, void** result) {
    *result = nullptr;
    self_of(fsm).host_.apply_command(view_of(*command));
    return 0;
  }

  static int snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* n) {
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*buffers)[0] = buffer_of(self_of(fsm).host_.state());
    *n = 1;
    return 0;
  }

  static int restore(raft_fsm* fsm, raft_buffer* from) {
    try {
      self_of(fsm).host_.restore(view_of(*from));
    } catch (const DecodeError&) {
      return RAFT_CORRUPT;
    }
    raft_free(from->base);
    return 0;
  }
};

Consensus::Consensus(Settings settings, Host& host, PersistentState state, uint64_t seed)
    : settings_(std::move(settings)), host_(host), persistent_state_(std::move(state)), rng_(seed, 17) {
  io_.version = 1;
  io_.impl = this;
  io_.init = RaftAdapter::init;
  io_.close = RaftAdapter::close;
  io_.load = RaftAdapter::load;
  io_.start = RaftAdapter::start;
  io_.bootstrap = RaftAdapter::unsupported;
  io_.recover = RaftAdapter::unsupported;
  io_.set_term = RaftAdapter::set_term;
  io_.set_vote = RaftAdapter::set_vote;
  io_.send = RaftAdapter::send;
  io_.append = RaftAdapter::append;
  io_.truncate = RaftAdapter::truncate;
  io_.snapshot_put = RaftAdapter::snapshot_put;
  io_.snapshot_get = RaftAdapter::snapshot_get;
  io_.time = RaftAdapter::time;
  io_.random = RaftAdapter::random;
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = RaftAdapter::apply;
  fsm_.snapshot = RaftAdapter::snapshot;
  fsm_.restore = RaftAdapter::restore;
}

}  // namespace umberhoist::fleet
