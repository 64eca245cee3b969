// Opens sockets at startup, when the system may be short of descriptors or buffers for a moment or an earlier
// process may not have released its address yet.
#pragma once

#include <chrono>
#include <string>
#include <thread>

#include "common/http.hpp"
#include "common/log.hpp"

namespace ochregrade::sidecar {

// The process is expected to be ready within 6 s of its start; longer retries would only hide the error.
constexpr std::chrono::seconds kOpenRetryTimeout{4};
constexpr std::chrono::milliseconds kOpenRetryInterval{20};

/// Whether the error reports a shortage of resources on this machine, as opposed to a fault of an address or
/// of the remote side.
inline bool is_resource_shortage(error_code ec) {
    return ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space ||
           ec == asio::error::no_memory || ec == error_code(ENFILE, boost::system::system_category());
}

/// Calls `open` and returns its result. Retries for at most kOpenRetryTimeout while `open` throws because of
/// a resource shortage or an address in use, then throws the last exception of `open`. The function blocks
/// and is called only before the event loop runs.
template <class Open>
auto open_with_retry(Open open) {
    const auto retry_until = std::chrono::steady_clock::now() + kOpenRetryTimeout;
    for (bool logged = false;; logged = true) {
        try {
            return open();
        } catch (const boost::system::system_error& error) {
            const bool is_transient =
                is_resource_shortage(error.code()) || error.code() == asio::error::address_in_use;
            if (!is_transient || std::chrono::steady_clock::now() >= retry_until) throw;
            if (!logged) log_line(std::string("startup: retrying to open a socket: ") + error.what());
        }
        std::this_thread::sleep_for(kOpenRetryInterval);
    }
}

}  // namespace ochregrade::sidecar
