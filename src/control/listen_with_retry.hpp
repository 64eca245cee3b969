// Opens sockets at addresses from the configuration. An address that another process does not release in time
// is reported as an error of the configuration field that contains the address.
#pragma once

#include <sstream>
#include <utility>

#include "common/open_with_retry.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

/// Calls open_with_retry() for a socket that listens on `address`, which the configuration field `field`
/// contains. Throws ConfigError if another process uses the address, and otherwise what `open` throws.
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
