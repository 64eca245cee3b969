// Opening sockets at the start of the process, where the system may be short of descriptors or buffers for a
// moment, or the process before this one may not have let go of an address yet.
#pragma once

#include <chrono>
#include <sstream>
#include <thread>

#include "common/http.hpp"
#include "common/log.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

// A start is ready within 6 s where it can be; waiting longer would only hide the fault.
constexpr std::chrono::seconds kStartPatience{4};
constexpr std::chrono::milliseconds kStartRetry{20};

// Errors of this machine, and of no address or peer.
inline bool is_shortage(error_code ec) {
    return ec == asio::error::no_descriptors || ec == asio::error::no_buffer_space ||
           ec == asio::error::no_memory || ec == error_code(ENFILE, boost::system::system_category());
}

// Calls `open` until it meets neither a shortage nor an address in use, at the longest for kStartPatience.
// Blocks: for use before the loop runs. Throws what `open` threw last.
template <class Open>
auto open_with_retry(Open open) {
    const auto give_up = std::chrono::steady_clock::now() + kStartPatience;
    for (bool said = false;; said = true) {
        try {
            return open();
        } catch (const boost::system::system_error& error) {
            const bool may_pass = is_shortage(error.code()) || error.code() == asio::error::address_in_use;
            if (!may_pass || std::chrono::steady_clock::now() >= give_up) throw;
            if (!said) log_line(std::string("the start waits: ") + error.what());
        }
        std::this_thread::sleep_for(kStartRetry);
    }
}

// The same for a socket that listens on `at`, which the configuration's `field` names. Throws ConfigError
// where another process has the address.
template <class Endpoint, class Open>
auto listen_with_retry(const char* field, const Endpoint& at, Open open) {
    try {
        return open_with_retry(std::move(open));
    } catch (const boost::system::system_error& error) {
        if (error.code() != asio::error::address_in_use) throw;
        std::ostringstream text;
        text << at << " is taken by another process";
        throw ConfigError(field, text.str());
    }
}

}  // namespace ochregrade::sidecar
