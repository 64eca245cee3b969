#include "proxy/labels.hpp"

#include <array>

namespace ochregrade::sidecar {

std::string_view to_string(EndReason reason) {
    constexpr std::array<std::string_view, static_cast<std::size_t>(EndReason::count)> kNames = {
        "deadline", "no_capacity", "attempts_used", "retry_budget", "requests_behind"};
    return kNames.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(Outcome outcome) {
    constexpr std::array<std::string_view, kOutcomeCount> kNames = {
        "ok", "error", "overloaded", "timeout", "no_connect", "reset_in_flight", "cancelled", "not_sent"};
    return kNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace ochregrade::sidecar
