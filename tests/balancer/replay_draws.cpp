#include "replay_draws.hpp"

namespace ochregrade::test {

RequestClass draw_class(RandomDraws& draws) {
    RequestClass drawn;
    drawn.idempotency = draws.one_of(
        {Idempotency::idempotent, Idempotency::idempotent_with_key, Idempotency::not_idempotent});
    drawn.dedup_scope = draws.one_of({DedupScope::all, DedupScope::zone, DedupScope::cell});
    drawn.dedup_window = draws.one_of({0.0, 300.0, 1500.0, 5000.0});
    drawn.latency_objective = draws.between(60, 900);
    drawn.objective_per_effort = draws.chance(0.5) ? draws.between(0, 3) : 0;
    drawn.priority_weight = draws.between(0, 4);
    return drawn;
}

Settings draw_settings(RandomDraws& draws) {
    Settings drawn;
    for (std::uint64_t left = 1 + draws.below(4); left > 0; --left)
        drawn.classes.push_back(draw_class(draws));
    if (draws.chance(0.7)) drawn.local_zone = static_cast<ZoneId>(draws.below(3));
    drawn.sidecar_count = draws.one_of<std::uint32_t>({1, 4, 30, 300, 900});
    drawn.sidecar_index = static_cast<std::uint32_t>(draws.below(drawn.sidecar_count));
    drawn.polled_discovery = draws.chance(0.5);
    drawn.poll_interval = draws.one_of({0.0, 400.0, 2000.0});
    drawn.max_attempts = static_cast<std::uint32_t>(1 + draws.below(4));
    drawn.hedging_allowed = draws.chance(0.5);
    drawn.cancel_allowed = draws.chance(0.8);
    drawn.probes_allowed = draws.chance(0.6);
    drawn.evidence_shared = draws.chance(0.4);
    drawn.gossip_allowed = draws.chance(0.6);
    drawn.slow_start_least_share = draws.one_of({0.1, 0.3, 1.0});
    drawn.slow_start_duration = draws.one_of({0.0, 3000.0, 20000.0});
    drawn.slow_start_overload_factor = draws.between(1, 4);
    drawn.fees.cross_zone = draws.one_of({0.0, 0.01, 0.2});
    drawn.fees.probe = draws.one_of({0.0, 0.002, 0.05});
    return drawn;
}

}  // namespace ochregrade::test
