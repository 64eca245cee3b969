// Opening the sockets whose addresses the configuration gives: an address that stays taken is an error of its
// field.
#pragma once

#include <sstream>
#include <utility>

#include "common/open_with_retry.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

/// open_with_retry() for a socket that listens on `address`, which the configuration's `field` gives. Throws
/// ConfigError if another process has the address.
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
