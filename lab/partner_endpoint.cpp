#include "partner_endpoint.h"

#include <algorithm>
#include <cmath>

#include "partner_session.h"

namespace umberhoist::lab {

using Error = boost::system::error_code;

Partner::Endpoint::Endpoint(Partner& owner, std::string name) : id(std::move(name)), owner_(owner) {
  const PlannedPartner& p = owner.spec_;
  cores_ = std::max(2, static_cast<int>(std::ceil(p.limit * p.pace * 1.6 / p.endpoints)));
  open();
}

void Partner::Endpoint::open() {
  fillers_.clear();
  if (!acceptor_) {
    acceptor_ = std::make_unique<tcp::acceptor>(owner_.world_.io);
    acceptor_->open(tcp::v4());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(address.port() == 0 ? loopback() : address);
    address = acceptor_->local_endpoint();
  }
  acceptor_->listen(512);
  accept();
}

void Partner::Endpoint::accept() {
  acceptor_->async_accept([this](const Error& error, tcp::socket socket) {
    // Shut while this one was on its way: it goes unanswered.
    if (error == boost::asio::error::operation_aborted || !acceptor_) return;
    if (!error) {
      owner_.world_.figures.connected(owner_.world_.now(), owner_.number_);
      const bool over = static_cast<int>(sessions_.size()) >= owner_.world_.scenario.partners.connections;
      auto session = std::make_shared<Session>(*this, std::move(socket), over);
      sessions_.insert(session);
      session->next();
    }
    accept();
  });
}

void Partner::Endpoint::shut(bool silent) {
  if (!acceptor_) return;
  Error ignored;
  acceptor_->cancel(ignored);
  if (!silent) return acceptor_.reset();
  // A full accept queue of the shortest length: what comes now is dropped, as by a machine that has vanished.
  acceptor_->listen(0, ignored);
  for (int i = 0; i < 3; ++i) {
    tcp::socket filler(owner_.world_.io, tcp::v4());
    filler.non_blocking(true, ignored);
    // Not Asio's own, which waits for what never comes.
    ::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
    fillers_.push_back(std::move(filler));
  }
}

void Partner::Endpoint::close_all(bool reset) {
  queue_.clear();
  for (const auto& session : std::set<std::shared_ptr<Session>>(sessions_)) session->close(reset);
}

bool Partner::Endpoint::run(const std::shared_ptr<Session>& session, double time) {
  if (running_ >= cores()) {
    if (static_cast<double>(queue_.size()) >= owner_.world_.scenario.partners.queue * cores()) return false;
    queue_.emplace_back(session, time);
    return true;
  }
  ++running_;
  // A call that was given up runs on, so the core is not the session's to free.
  owner_.world_.after(time, [self = weak_from_this(), session] {
    if (const auto endpoint = self.lock()) endpoint->done();
    session->ran();
  });
  return true;
}

// A core is free. The queue is gone through as it stands, with what was given up.
void Partner::Endpoint::done() {
  --running_;
  if (queue_.empty() || running_ >= cores()) return;
  const auto [session, time] = queue_.front();
  queue_.pop_front();
  run(session, time);
}

}  // namespace umberhoist::lab
