// Opens sockets at addresses from the configuration. If another process does not release an address within
// kOpenRetryTimeout, that is reported as an error of the configuration field that contains the address.
#pragma once

#include <sstream>
#include <utility>

#include "common/open_with_retry.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Calls open_with_retry() for a socket that listens on `address`, which the configuration field `field`
/// contains. Throws ConfigError if another process still uses the address after all retries; other exceptions
/// of `open` are passed on.
template <class Endpoint, class Open>
auto listen_with_retry(const char* field, const Endpoint& address, Open open) {
    try {
        return open_with_retry(std::move(open));
    } catch (const boost::system::system_error& error) {
        if (error.code() != asio::error::address_in_use) throw;
        std::ostringstream text;
        text << address << " is taken by another process";
        throw ConfigError(field, text.str());
    }
}

}  // namespace ochregrade::sidecar
