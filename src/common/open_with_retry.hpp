// Opening sockets at startup, where the system may be short of descriptors or buffers for a moment, or an
// earlier process may not have released an address yet.
#pragma once

#include <chrono>
#include <string>
#include <thread>

#include "common/http.hpp"
#include "common/log.hpp"

namespace ochregrade::sidecar {

// The process is expected to be ready within 6 s; retrying for longer would only hide the error.
constexpr std::chrono::seconds kOpenRetryTimeout{4};
constexpr std::chrono::milliseconds kOpenRetryInterval{20};

/// Whether the error is a shortage of resources on this machine, and not one of an address or a peer.
inline bool is_shortage(error_code ec) {
    return ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space ||
           ec == asio::error::no_memory || ec == error_code(ENFILE, boost::system::system_category());
}

/// Calls `open` until it meets neither a shortage nor an address in use, for kOpenRetryTimeout at most, and
/// returns its result. Throws what `open` threw last. Blocks: for use before the event loop runs.
template <class Open>
auto open_with_retry(Open open) {
    const auto retry_until = std::chrono::steady_clock::now() + kOpenRetryTimeout;
    for (bool logged = false;; logged = true) {
        try {
            return open();
        } catch (const boost::system::system_error& error) {
            const bool is_transient =
                is_shortage(error.code()) || error.code() == asio::error::address_in_use;
            if (!is_transient || std::chrono::steady_clock::now() >= retry_until) throw;
            if (!logged) log_line(std::string("startup: retrying to open a socket: ") + error.what());
        }
        std::this_thread::sleep_for(kOpenRetryInterval);
    }
}

}  // namespace ochregrade::sidecar
