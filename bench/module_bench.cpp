// What a decision costs by the length of the list: a request's path through the module, and a change of the
// list. How it is built and run stands in docs/LIMITS.md.
#include <benchmark/benchmark.h>

#include "ochregrade/balancer.hpp"

namespace {

using namespace ochregrade;

// One of many sidecars, with little traffic of its own, on a clock that the benchmark moves.
struct Bench {
    explicit Bench(std::size_t servers) : balancer(settings(), 7) {
        balancer.handle(now, Started{}, actions);
        EndpointUpdate list{EndpointUpdateKind::full, {}};
        for (std::size_t i = 0; i < servers; ++i) {
            Endpoint info;
            info.id = static_cast<EndpointId>(i * 2654435761u);
            info.zone = static_cast<ZoneId>(i % 3);
            list.endpoints.push_back(info);
        }
        balancer.handle(now, list, actions);
        some = list.endpoints[servers / 2];
        for (int i = 0; i < 500; ++i) request(i % 10 != 0);
    }
    static Settings settings() {
        Settings s;
        for (const double worth : {1.0, 2.0, 5.0}) {
            RequestClass c;
            c.idempotency = Idempotency::idempotent;
            c.latency_objective = 400;
            c.priority_weight = worth;
            s.classes.push_back(c);
        }
        s.sidecar_count = 350, s.sidecar_index = 111;
        s.gossip_allowed = true;
        return s;
    }
    // It arrives, goes to a server and is answered, or has failed and is tried again.
    void request(bool good) {
        RequestArrived arrived;
        arrived.id = ++last;
        arrived.class_index = static_cast<std::uint32_t>(last % 3);
        arrived.time_left = 1000;
        now += 100;
        give(arrived);
        for (std::uint32_t attempt = 0; attempt < sent; ++attempt) {
            AttemptEnded ended{last, attempt};
            ended.outcome = good || attempt > 0 ? Outcome::success : Outcome::server_error;
            ended.duration = 40;
            ended.request_ended = ended.outcome == Outcome::success;
            now += 40;
            give(ended);
        }
    }
    void give(const Event& event) {
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
    RequestId last = 0;
    std::uint32_t sent = 0;
    Endpoint some;
    std::vector<Action> actions;
    std::vector<SetTimer> due;
};

void served(benchmark::State& state) {
    Bench bench(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) bench.request(true);
}

void failed_and_tried_again(benchmark::State& state) {
    Bench bench(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) bench.request(false);
}

void list_change(benchmark::State& state) {
    Bench bench(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        bench.some.state =
            bench.some.state == EndpointState::serving ? EndpointState::draining : EndpointState::serving;
        bench.give(EndpointUpdate{EndpointUpdateKind::incremental, {bench.some}});
    }
}

BENCHMARK(served)->Arg(10)->Arg(100)->Arg(400)->Arg(1024)->Arg(4096);
BENCHMARK(failed_and_tried_again)->Arg(10)->Arg(100)->Arg(400)->Arg(1024)->Arg(4096);
BENCHMARK(list_change)->Arg(10)->Arg(100)->Arg(400)->Arg(1024)->Arg(4096);

}  // namespace

BENCHMARK_MAIN();
