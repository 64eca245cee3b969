// Benchmarks of the decision library, each for several lengths of the endpoint list: the handling of a
// request, with and without a retry, and a change of the list. docs/LIMITS.md describes how to build and run
// the benchmarks.
#include <benchmark/benchmark.h>

#include "ochregrade/balancer.hpp"

namespace {

using namespace ochregrade;

// The balancer of one sidecar with low traffic in a large fleet, on a simulated clock (milliseconds).
struct BalancerBenchmark {
    explicit BalancerBenchmark(std::size_t servers) : balancer(settings(), 7) {
        balancer.handle(now, Started{}, actions);
        EndpointUpdate list{EndpointUpdateKind::full, {}};
        for (std::size_t i = 0; i < servers; ++i) {
            Endpoint info;
            info.id = static_cast<EndpointId>(i * 2654435761u);
            info.zone = static_cast<ZoneId>(i % 3);
            list.endpoints.push_back(info);
        }
        balancer.handle(now, list, actions);
        changing_endpoint = list.endpoints[servers / 2];
        for (int i = 0; i < 500; ++i) request(i % 10 != 0);
    }
    static Settings settings() {
        Settings s;
        for (const double priority_weight : {1.0, 2.0, 5.0}) {
            RequestClass c;
            c.idempotency = Idempotency::idempotent;
            c.latency_objective = 400;
            c.priority_weight = priority_weight;
            s.classes.push_back(c);
        }
        s.sidecar_count = 350, s.sidecar_index = 111;
        s.gossip_allowed = true;
        return s;
    }
    // Handles a request from its arrival to its response. If `good` is false, the first attempt fails and the
    // request is retried.
    void request(bool good) {
        RequestArrived arrived;
        arrived.id = ++last_id;
        arrived.class_index = static_cast<std::uint32_t>(last_id % 3);
        arrived.time_left = 1000;
        now += 100;
        handle_event(arrived);
        for (std::uint32_t attempt = 0; attempt < sent; ++attempt) {
            AttemptEnded ended{last_id, attempt};
            ended.outcome = good || attempt > 0 ? Outcome::success : Outcome::server_error;
            ended.duration = 40;
            ended.request_ended = ended.outcome == Outcome::success;
            now += 40;
            handle_event(ended);
        }
    }
    void handle_event(const Event& event) {
        actions.clear();
        balancer.handle(now, event, actions);
        if (std::holds_alternative<RequestArrived>(event)) sent = 0;
        for (const Action& a : actions) {
            sent += std::holds_alternative<SendAttempt>(a);
            if (const auto* timer = std::get_if<SetTimer>(&a)) due.push_back(*timer);
        }
        if (due.size() < 1000) return;
        std::vector<SetTimer> all;
        all.swap(due);
        for (const SetTimer& timer : all) balancer.handle(now, TimerFired{timer.token}, actions);
    }
    Balancer balancer;
    Millis now = 100000;
    RequestId last_id = 0;
    std::uint32_t sent = 0;
    Endpoint changing_endpoint;
    std::vector<Action> actions;
    std::vector<SetTimer> due;
};

void served(benchmark::State& state) {
    BalancerBenchmark bench(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) bench.request(true);
}

void failed_and_tried_again(benchmark::State& state) {
    BalancerBenchmark bench(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) bench.request(false);
}

void list_change(benchmark::State& state) {
    BalancerBenchmark bench(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        bench.changing_endpoint.state = bench.changing_endpoint.state == EndpointState::serving
                                            ? EndpointState::draining
                                            : EndpointState::serving;
        bench.handle_event(EndpointUpdate{EndpointUpdateKind::incremental, {bench.changing_endpoint}});
    }
}

BENCHMARK(served)->Arg(10)->Arg(100)->Arg(400)->Arg(1024)->Arg(4096);
BENCHMARK(failed_and_tried_again)->Arg(10)->Arg(100)->Arg(400)->Arg(1024)->Arg(4096);
BENCHMARK(list_change)->Arg(10)->Arg(100)->Arg(400)->Arg(1024)->Arg(4096);

}  // namespace

BENCHMARK_MAIN();
