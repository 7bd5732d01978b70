// What C-Raft asks of its host: its raft_io and raft_fsm. Whatever it is told later, it is told by finish().
#include "consensus_parts.h"

namespace umberhoist::fleet {

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
    } catch (const DecodeError&) {
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

}  // namespace umberhoist::fleet
