// Fixture for tests of a single module of the decision library: a context that records actions, and an
// endpoint table.
#pragma once

#include <algorithm>
#include <vector>

#include "balancer/context.hpp"
#include "balancer/endpoint_table.hpp"
#include "balancer/request_table.hpp"
#include "support/balancer_fixture.hpp"

namespace ochregrade::test {

struct ModuleFixture {
    explicit ModuleFixture(const Settings& settings = make_settings(), std::uint64_t seed = 1)
        : context(std::make_shared<const Settings>(settings), seed) {
        context.now = 100000;
        context.actions = &actions;
    }

    /// Applies a full endpoint list with the endpoints 1 to count, all started at the same time.
    void list(EndpointId count, Millis started_at = 0) {
        table.apply({EndpointUpdateKind::full, make_endpoints(count, started_at)});
    }
    detail::EndpointRecord& endpoint(EndpointId id) { return *table.find(id); }

    template <class T>
    std::vector<T> actions_of() const {
        std::vector<T> found;
        for (const Action& action : actions)
            if (const T* match = std::get_if<T>(&action)) found.push_back(*match);
        return found;
    }

    std::vector<Action> actions;
    detail::Context context;
    detail::EndpointTable table;
};

/// A request of class 0 without attempts, whose deadline is in ten seconds.
inline detail::Request make_request(const ModuleFixture& fixture, RequestId id = 1) {
    detail::Request request;
    request.id = id;
    request.settings = fixture.context.settings;
    request.request_class = fixture.context.settings->classes.at(0);
    request.deadline = fixture.context.now + 10000;
    return request;
}

}  // namespace ochregrade::test
