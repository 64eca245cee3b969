#include "replay_hash.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ochregrade::test {
namespace {

void add_fields(ReplayHash& hash, const SendAttempt& action) {
    hash.add_number(action.id);
    hash.add_number(action.endpoint);
    hash.add_real(action.give_up_at);
    hash.add_real(action.write_deadline);
}
void add_fields(ReplayHash& hash, const CancelAttempt& action) {
    hash.add_number(action.id);
    hash.add_number(action.attempt);
}
void add_fields(ReplayHash& hash, const RejectRequest& action) {
    hash.add_number(action.id);
    hash.add_real(action.retry_after);
    hash.add_number(static_cast<std::uint64_t>(action.reason));
}
void add_fields(ReplayHash& hash, const FailRequest& action) {
    hash.add_number(action.id);
    hash.add_number(static_cast<std::uint64_t>(action.reason));
}
void add_fields(ReplayHash& hash, const SetTimer& action) {
    hash.add_real(action.at);
    hash.add_number(action.token);
}
void add_fields(ReplayHash& hash, const SendProbe& action) { hash.add_number(action.endpoint); }
void add_fields(ReplayHash& hash, const CloseIdleConnections& action) { hash.add_number(action.endpoint); }
void add_fields(ReplayHash& hash, const SendGossip& action) {
    hash.add_number(action.to ? *action.to + 1ULL : 0);
    hash.add_bytes(action.bytes);
}
void add_fields(ReplayHash& hash, const SubscribeEndpoints& action) {
    hash.add_number(action.active ? 1 : 0);
}
void add_fields(ReplayHash&, const FetchEndpoints&) {}
void add_fields(ReplayHash& hash, const LogMessage& action) {
    hash.add_number(action.endpoint ? *action.endpoint + 1ULL : 0);
}
void add_fields(ReplayHash& hash, const PublishEvidence& action) {
    hash.add_number(action.endpoint);
    hash.add_real(action.successes);
    hash.add_real(action.failures);
    hash.add_real(action.latency_ratio);
    hash.add_number(action.ejected ? 1 : 0);
    hash.add_number(action.recovered ? 1 : 0);
}

}  // namespace

void ReplayHash::add_number(std::uint64_t value) { hash_ = XXH64(&value, sizeof value, hash_); }

void ReplayHash::add_action(const Action& action) {
    add_number(action.index());
    std::visit([this](const auto& fields) { add_fields(*this, fields); }, action);
}

}  // namespace ochregrade::test
