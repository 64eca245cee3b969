#include "lab/lab.hpp"

#include <signal.h>
#include <sys/resource.h>

#include <boost/asio/redirect_error.hpp>
#include <random>

#include "lab/clients.hpp"
#include "lab/fakes.hpp"
#include "lab/fleet.hpp"
#include "lab/history.hpp"
#include "lab/loopback_block.hpp"
#include "lab/record.hpp"
#include "lab/relay.hpp"
#include "lab/report.hpp"

namespace ochregrade::lab {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr auto kStopGrace = 6s;  // SIGTERM to SIGKILL at the end: the sidecar finishes what it holds first

double wall_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

Clock::duration seconds(double s) {
    return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(s));
}

// The descriptors a fleet's worth of connections needs: as many as the hard limit allows.
void raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

// `share` of `count`, at least one where share > 0, drawn by `random`.
std::vector<int> pick(int count, double share, std::mt19937_64& random) {
    std::vector<int> all(static_cast<std::size_t>(count));
    std::iota(all.begin(), all.end(), 0);
    std::shuffle(all.begin(), all.end(), random);
    const auto n =
        share <= 0 ? 0 : std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(share * count)));
    all.resize(std::min(all.size(), n));
    std::sort(all.begin(), all.end());
    return all;
}

const char* kind_name(Fault::Kind kind) {
    switch (kind) {
        case Fault::Kind::kill:
            return "kill";
        case Fault::Kind::stop:
            return "stop";
        case Fault::Kind::restart:
            return "restart";
        case Fault::Kind::servers:
            return "servers";
        case Fault::Kind::zone:
            return "zone";
        case Fault::Kind::discovery:
            return "discovery";
        case Fault::Kind::partition:
            return "partition";
        case Fault::Kind::loss:
            return "loss";
        case Fault::Kind::drain:
            return "drain";
        case Fault::Kind::anew:
            return "anew";
        case Fault::Kind::stall:
            return "stall";
        case Fault::Kind::silence:
            return "silence";
        case Fault::Kind::replace:
            return "replace";
        case Fault::Kind::settings:
            return "settings";
    }
    return "?";
}

class Run {
public:
    Run(const Experiment& e, const RunOptions& options, std::shared_ptr<spdlog::logger> log)
        : e_(e),
          options_(options),
          log_(std::move(log)),
          recorder_(e.servers, e.sidecars, e.seconds, static_cast<int>(e.classes.size())),
          discovery_(io_, recorder_),
          relay_(io_, e, recorder_),
          children_(io_, SIGCHLD) {}

    json go() {
        raise_descriptor_limit();
        std::mt19937_64 deal(e_.seed);
        std::uniform_real_distribution<double> spread(1 - e_.speed_spread, 1 + e_.speed_spread);
        for (int i = 0; i < e_.servers; ++i) {
            servers_.push_back(std::make_shared<GuideServer>(io_, i, spread(deal), e_, recorder_));
            recorder_.server_speed(i, servers_.back()->speed());
            servers_.back()->start();
        }
        discovery_.start(e_.sidecars);
        discovery_.publish(hosts());
        std::vector<SidecarSpec> specs;
        std::vector<asio::ip::tcp::endpoint> listens;
        for (int i = 0; i < e_.sidecars; ++i) {
            const std::string address = addresses_.address(i);
            SidecarSpec spec{i, e_.zones[static_cast<std::size_t>(i) % e_.zones.size()], address,
                             free_port(address, false), free_port(address, true)};
            relay_.bind_peer(i, {asio::ip::make_address_v4(address), spec.peer_listen});
            listens.push_back({asio::ip::make_address_v4(address), spec.listen});
            specs.push_back(spec);
        }
        clients_ = std::make_unique<Clients>(io_, e_, recorder_, listens);
        fleet_ =
            std::make_unique<Fleet>(options_.program, options_.out / "sidecars", std::move(specs),
                                    [this](const SidecarSpec& s, int start) { return config(s, start); });
        event({{"event", "setup"}, {"servers", e_.servers}, {"sidecars", e_.sidecars}});
        for (int i = 0; i < e_.sidecars; ++i)
            if (!fleet_->start(i)) throw std::runtime_error("could not start " + options_.program);
        watch_children();
        asio::co_spawn(io_, main(), asio::detached);
        io_.run();
        fleet_->stop_all(kStopGrace);
        recorder_.finish();
        const auto& counts = fleet_->counts();
        json crashes = json::array();
        for (const Fleet::Crash& crash : fleet_->crashes()) {
            crashes.push_back(
                {{"sidecar", crash.sidecar}, {"wait_status", crash.wait_status}, {"log", crash.log_tail}});
        }
        json extra{{"processes",
                    {{"started", counts.started},
                     {"ended_with_0", counts.exited_zero},
                     {"ended_otherwise", counts.exited_other},
                     {"killed", counts.killed},
                     {"crashed", counts.crashed},
                     {"crashes", crashes}}},
                   {"ready", {{"sidecars", ready_}, {"after_s", ready_after_s_}}},
                   {"datagrams_oversize", relay_.oversize()},
                   {"faults", faults_done_},
                   {"faults_failed", faults_failed_}};
        for (int i = 0; i < e_.sidecars; ++i) history_.read_log(i, fleet_->log_path(i));
        extra["shared"] = history_.figures(e_.servers);
        json summary = write_report(options_.out, e_, recorder_, extra);
        event({{"event", "report"}, {"folder", options_.out.string()}});
        return summary;
    }

private:
    void event(const json& fields) {
        log_->info(fields.dump());
        history_.happened(wall_ms(), fields);
    }

    json hosts() const {
        json list = json::array();
        const auto add = [&](const GuideServer& server, int generation, bool draining, std::int64_t born) {
            const auto place = static_cast<std::size_t>(server.index());
            char name[32];
            std::snprintf(name, sizeof name, generation > 0 ? "s-%03d.%d" : "s-%03d", server.index(),
                          generation);
            list.push_back({{"host", name},
                            {"dial", loopback(server.port())},
                            {"site", e_.zones[place % e_.zones.size()]},
                            {"class", "m"},
                            {"block", 0},
                            {"health", draining ? "DRAINING" : "SERVING"},
                            {"share", 1.0},
                            {"born_ms", born}});
        };
        for (const auto& server : servers_) {
            const auto place = static_cast<std::size_t>(server->index());
            add(*server, generation_[place], draining_[place], born_ms_[place]);
        }
        for (const Leaving& old : leaving_) add(*old.server, old.generation, true, old.born_ms);
        return list;
    }

    json classes() const {
        json all = json::array();
        for (const LoadClass& c : e_.classes)
            all.push_back({{"name", c.name},
                           {"effect", c.once ? "once" : "repeatable"},
                           {"on-time-ms", c.on_time_ms + epoch_},
                           {"give-up-ms", c.time_left_ms},
                           {"credit", c.worth}});
        return all;
    }

    json config(const SidecarSpec& s, int start) const {
        json peers = json::array();
        for (int i = 0; i < e_.sidecars; ++i) peers.push_back(loopback(relay_.port(i)));
        char seed[17];
        std::snprintf(seed, sizeof seed, "%016llx",
                      static_cast<unsigned long long>(e_.seed * 0x100000001b3ULL +
                                                      static_cast<unsigned>(s.index) * 131 +
                                                      static_cast<unsigned>(start)));
        return {
            {"name", std::to_string(s.index).insert(0, 1, 'n')},
            {"listen", s.address + ":" + std::to_string(s.listen)},
            {"discovery", loopback(discovery_.port(s.index))},
            {"seed", seed},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
            {"peer_listen", s.address + ":" + std::to_string(s.peer_listen)},
            {"peers", peers},
            {"peers_all", loopback(relay_.all_port())},
            {"known", {{"seq", discovery_.seq()}, {"whole", true}, {"hosts", discovery_.hosts()}}},
            {"settings",
             {{"classes", classes()},
              {"siblings", e_.sidecars},
              {"my-number", s.index},
              {"my-zone", s.zone},
              {"azs", e_.zones},
              {"limits",
               {{"max-attempts", 3},
                {"may-cancel", true},
                {"may-probe", true},
                {"may-tell", true},
                {"connect-timeout-ms", 250},
                {"idle-close-ms", e_.idle_close_ms},
                {"max-retry-after-ms", 2000}}},
              {"rules", {{"cold-from", e_.cold_from}, {"fall-multiple", 3}, {"warm-within-ms", e_.warm_ms}}},
              {"fees", {{"cross-zone", 0.01}, {"probe", 0.01}}}}},
            {"ochregrade",
             {{"epoch", epoch_},
              {"rollout", {{"share", rollout_}}},
              {"fleet", {{"enabled", e_.shared}, {"agreement", e_.agreement}}}}}};
    }

    void watch_children() {
        children_.async_wait([this](error_code ec, int) {
            if (ec) return;
            fleet_->reap();
            watch_children();
        });
    }

    asio::awaitable<void> main() {
        const Clock::time_point began = Clock::now();
        const Clock::time_point give_up = began + seconds(e_.ready_s);
        std::vector<char> ready(static_cast<std::size_t>(e_.sidecars), 0);
        while (ready_ < e_.sidecars && Clock::now() < give_up) {
            for (int i = 0; i < e_.sidecars; ++i)
                if (!ready[static_cast<std::size_t>(i)] && co_await clients_->healthy(i)) {
                    ready[static_cast<std::size_t>(i)] = 1;
                    ++ready_;
                }
            if (ready_ < e_.sidecars) co_await sleep_until(Clock::now() + 100ms);
        }
        ready_after_s_ = std::chrono::duration<double>(Clock::now() - began).count();
        event({{"event", "ready"}, {"sidecars", ready_}, {"after_s", ready_after_s_}});
        const Clock::time_point start = Clock::now();
        const Clock::time_point end = start + seconds(e_.seconds);
        recorder_.start(start);
        clients_->run(end);
        for (std::size_t i = 0; i < e_.faults.size(); ++i)
            asio::co_spawn(io_, fault(e_.faults[i], i, start), asio::detached);
        co_await sleep_until(end);
        // What is still out ends by its deadline; then the fleet is told to stop.
        const Clock::time_point drained = end + seconds(e_.time_left_ms / 1000 + 1);
        while (clients_->in_flight() > 0 && Clock::now() < drained) co_await sleep_until(Clock::now() + 20ms);
        event({{"event", "load_over"}, {"in_flight", clients_->in_flight()}});
        io_.stop();
    }

    // A fault that fails (a port that can't be bound again, say) is logged; the run goes on without it.
    asio::awaitable<void> fault(const Fault& f, std::size_t number, Clock::time_point start) {
        try {
            co_await play(f, number, start);
        } catch (const std::exception& error) {
            event({{"event", "fault_failed"},
                   {"kind", kind_name(f.kind)},
                   {"number", number},
                   {"error", error.what()}});
            ++faults_failed_;
        }
    }

    asio::awaitable<void> play(const Fault& f, std::size_t number, Clock::time_point start) {
        std::mt19937_64 random(e_.seed * 0x2545F4914F6CDD1DULL + number);
        co_await sleep_until(start + seconds(f.at_s));
        const auto until = [&] { return Clock::now() + seconds(f.for_s); };
        json said{{"event", "fault"}, {"kind", kind_name(f.kind)}, {"number", number}};
        switch (f.kind) {
            case Fault::Kind::kill:
            case Fault::Kind::stop: {
                const bool kill = f.kind == Fault::Kind::kill;
                const std::vector<int> chosen = pick(e_.sidecars, f.share, random);
                for (const int i : chosen) {
                    if (kill) fleet_->expect_end(i);
                    fleet_->signal(i, kill ? SIGKILL : SIGSTOP);
                }
                said["sidecars"] = chosen;
                event(said);
                co_await sleep_until(until());
                for (const int i : chosen) {
                    if (kill) {
                        fleet_->reap();
                        clients_->forget_connections(i);
                        if (!fleet_->running(i)) fleet_->start(i);
                    } else {
                        fleet_->signal(i, SIGCONT);
                    }
                }
                break;
            }
            case Fault::Kind::restart: {
                event(said);
                for (int tenth = 0; tenth < 10; ++tenth) {
                    std::vector<int> chosen;
                    for (int i = tenth; i < e_.sidecars; i += 10) chosen.push_back(i);
                    for (const int i : chosen) {
                        fleet_->expect_end(i);
                        fleet_->signal(i, SIGTERM);
                    }
                    const Clock::time_point latest = Clock::now() + kStopGrace;
                    for (;;) {
                        fleet_->reap();
                        const bool any = std::any_of(chosen.begin(), chosen.end(),
                                                     [&](int i) { return fleet_->running(i); });
                        if (!any || Clock::now() > latest) break;
                        co_await sleep_until(Clock::now() + 20ms);
                    }
                    for (const int i : chosen) {
                        if (fleet_->running(i)) fleet_->signal(i, SIGKILL);
                    }
                    fleet_->reap();
                    for (const int i : chosen) {
                        clients_->forget_connections(i);
                        if (!fleet_->running(i)) fleet_->start(i);
                    }
                    co_await sleep_until(until());
                }
                break;
            }
            case Fault::Kind::servers: {
                const std::vector<int> chosen = pick(e_.servers, f.share, random);
                for (const int i : chosen) servers_[static_cast<std::size_t>(i)]->set_mode(f.mode);
                said["servers"] = chosen;
                event(said);
                if (f.for_s <= 0) break;
                co_await sleep_until(until());
                for (const int i : chosen) servers_[static_cast<std::size_t>(i)]->set_mode(ServerMode::ok);
                break;
            }
            case Fault::Kind::zone: {
                std::vector<int> chosen;
                for (const auto& server : servers_)
                    if (e_.zones[static_cast<std::size_t>(server->index()) % e_.zones.size()] == f.zone) {
                        server->stop();
                        chosen.push_back(server->index());
                    }
                said["servers"] = chosen;
                event(said);
                co_await sleep_until(until());
                const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count();
                for (const int i : chosen) {
                    servers_[static_cast<std::size_t>(i)]->start();
                    born_ms_[static_cast<std::size_t>(i)] = now_ms;
                }
                discovery_.publish(hosts());  // back cold, with their new start told
                break;
            }
            case Fault::Kind::discovery:
                discovery_.set_down(true);
                event(said);
                co_await sleep_until(until());
                discovery_.set_down(false);
                break;
            case Fault::Kind::partition: {
                const std::vector<int> chosen = pick(e_.sidecars, f.share, random);
                relay_.cut(chosen, f.inbound, f.outbound);
                said["sidecars"] = chosen;
                event(said);
                co_await sleep_until(until());
                relay_.heal();
                break;
            }
            case Fault::Kind::drain: {
                const std::vector<int> chosen = pick(e_.servers, f.share, random);
                for (const int i : chosen) draining_[static_cast<std::size_t>(i)] = 1;
                discovery_.publish(hosts());
                said["draining"] = chosen;
                event(said);
                co_await sleep_until(until());
                for (const int i : chosen) draining_[static_cast<std::size_t>(i)] = 0;
                discovery_.publish(hosts());
                break;
            }
            case Fault::Kind::anew:
                discovery_.count_anew();
                discovery_.publish(hosts());
                event(said);
                break;
            case Fault::Kind::stall: {
                const std::vector<int> chosen = pick(e_.sidecars, f.share, random);
                discovery_.stall(chosen);
                said["stalled"] = chosen;
                event(said);
                co_await sleep_until(until());
                discovery_.stall({});
                break;
            }
            case Fault::Kind::silence: {
                const std::vector<int> chosen = pick(e_.sidecars, f.share, random);
                discovery_.silence(chosen);
                said["silent"] = chosen;
                event(said);
                break;
            }
            case Fault::Kind::replace: {
                const std::vector<int> chosen = pick(e_.servers, f.share, random);
                said["replaced"] = chosen;
                event(said);
                co_await replace(chosen, f.for_s);
                break;
            }
            case Fault::Kind::settings: {
                ++epoch_, rollout_ = f.rollout;
                for (int i = 0; i < e_.sidecars; ++i) fleet_->rewrite(i);
                const std::vector<int> chosen = pick(e_.sidecars, f.share, random);
                said["epoch"] = epoch_, said["rollout"] = rollout_;
                event(said);
                for (const int i : chosen) fleet_->signal(i, SIGHUP);
                break;
            }
            case Fault::Kind::loss: {
                const double before = relay_.loss();
                relay_.set_loss(f.probability);
                event(said);
                co_await sleep_until(until());
                relay_.set_loss(before);
                break;
            }
        }
        ++faults_done_;
        event({{"event", "fault_over"}, {"kind", kind_name(f.kind)}, {"number", number}});
    }

    // A release: in each step new servers start cold under new names, those they replace drain from then on
    // and are gone with the step after.
    asio::awaitable<void> replace(const std::vector<int>& chosen, double for_s) {
        constexpr std::size_t kSteps = 5;
        const Clock::time_point began = Clock::now();
        for (std::size_t step = 0; step <= kSteps; ++step) {
            for (Leaving& old : leaving_) old.server->stop();
            leaving_.clear();
            for (std::size_t i = step; i < chosen.size() && step < kSteps; i += kSteps) {
                const auto place = static_cast<std::size_t>(chosen[i]);
                auto fresh =
                    std::make_shared<GuideServer>(io_, chosen[i], servers_[place]->speed(), e_, recorder_);
                fresh->start();
                recorder_.server_cold(chosen[i]);
                servers_[place]->replaced();
                leaving_.push_back({std::move(servers_[place]), generation_[place]++, born_ms_[place]});
                servers_[place] = std::move(fresh);
                born_ms_[place] = std::llround(wall_ms());
            }
            discovery_.publish(hosts());
            co_await sleep_until(began + seconds(for_s * static_cast<double>(step + 1) / kSteps));
        }
    }

    const Experiment& e_;
    const RunOptions& options_;
    std::shared_ptr<spdlog::logger> log_;
    asio::io_context io_;
    Recorder recorder_;
    History history_;
    Discovery discovery_;
    Relay relay_;
    asio::signal_set children_;
    std::vector<std::shared_ptr<GuideServer>> servers_;
    std::vector<std::int64_t> born_ms_ = std::vector<std::int64_t>(static_cast<std::size_t>(e_.servers), 0);
    struct Leaving {
        std::shared_ptr<GuideServer> server;
        int generation = 0;
        std::int64_t born_ms = 0;
    };
    std::vector<Leaving> leaving_;
    std::vector<int> generation_ = std::vector<int>(static_cast<std::size_t>(e_.servers), 0);
    std::unique_ptr<Clients> clients_;
    LoopbackBlock addresses_;  // outlives the sidecars on it
    std::unique_ptr<Fleet> fleet_;
    std::vector<char> draining_ = std::vector<char>(static_cast<std::size_t>(e_.servers), 0);
    std::uint32_t epoch_ = 1;  // of the settings in the sidecars' files
    double rollout_ = 1;
    int ready_ = 0;
    double ready_after_s_ = 0;
    int faults_done_ = 0, faults_failed_ = 0;
};

}  // namespace

json run_experiment(const Experiment& experiment, const RunOptions& options,
                    std::shared_ptr<spdlog::logger> log) {
    Run run(experiment, options, std::move(log));
    return run.go();
}

}  // namespace ochregrade::lab
