#include "simulator/vocabulary.hpp"

#include <array>
#include <utility>

namespace ochregrade::wire {

namespace {

template <class T, std::size_t N>
using EnumNames = std::array<std::pair<std::string_view, T>, N>;

constexpr EnumNames<EndpointState, 3> kEndpointStates{
    {{"on", EndpointState::serving}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}}};
constexpr EnumNames<EndpointUpdateKind, 4> kUpdateKinds{{{"INCREMENTAL", EndpointUpdateKind::incremental},
                                                         {"FULL", EndpointUpdateKind::full},
                                                         {"SAVED", EndpointUpdateKind::cached},
                                                         {"FAILED", EndpointUpdateKind::failed}}};
constexpr EnumNames<Idempotency, 3> kIdempotencies{{{"repeatable", Idempotency::idempotent},
                                                    {"by_key", Idempotency::idempotent_with_key},
                                                    {"once", Idempotency::not_idempotent}}};
constexpr EnumNames<DedupScope, 3> kDedupScopes{
    {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}}};
constexpr EnumNames<Outcome, 8> kOutcomes{{{"completed", Outcome::success},
                                           {"errored", Outcome::server_error},
                                           {"saturated", Outcome::overloaded},
                                           {"overdue", Outcome::timeout},
                                           {"refused_conn", Outcome::connect_failure},
                                           {"severed", Outcome::connection_reset},
                                           {"recalled", Outcome::cancelled},
                                           {"superseded", Outcome::not_sent}}};

template <class T, std::size_t N>
T read_enum(const Message& message, std::string_view field, const EnumNames<T, N>& names) {
    const std::string_view text = message.text(field);
    for (const auto& [name, value] : names)
        if (name == text) return value;
    message.fail(field, "is not a known word");
}

}  // namespace

EndpointState read_endpoint_state(const Message& message, std::string_view field) {
    return read_enum(message, field, kEndpointStates);
}

EndpointUpdateKind read_update_kind(const Message& message, std::string_view field) {
    return read_enum(message, field, kUpdateKinds);
}

Idempotency read_idempotency(const Message& message, std::string_view field) {
    return read_enum(message, field, kIdempotencies);
}

DedupScope read_dedup_scope(const Message& message, std::string_view field) {
    return read_enum(message, field, kDedupScopes);
}

Outcome read_outcome(const Message& message, std::string_view field) {
    return read_enum(message, field, kOutcomes);
}

}  // namespace ochregrade::wire
