// Failures of system calls that are this process's own want, and say nothing of a peer.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace firspool::relay {

constexpr std::chrono::milliseconds kOwnWantPause{10};

// No descriptor, port, buffer or memory could be had: the same call may succeed a moment later.
inline bool is_own_want(const boost::system::error_code& error) {
  namespace errc = boost::system::errc;
  return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system ||
         error == errc::no_buffer_space || error == errc::not_enough_memory ||
         error == errc::no_space_on_device ||  // of an epoll_ctl: the user watches as much as allowed
         error == errc::address_in_use || error == errc::address_not_available ||
         error == errc::resource_unavailable_try_again;
}

// Makes the call again after a pause: at once it would fail as before, and keep the loop busy.
template <typename Executor, typename Again>
void after_own_want(const Executor& executor, Again again) {
  auto timer = std::make_shared<boost::asio::steady_timer>(executor, kOwnWantPause);
  timer->async_wait([timer, again = std::move(again)](const boost::system::error_code& error) mutable {
    if (!error) again();
  });
}

}  // namespace firspool::relay
