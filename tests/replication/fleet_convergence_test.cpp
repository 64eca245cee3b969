// Fleets of replicas on a simulated network: convergence after random schedules of faults, each drawn from a
// seed, and failure detection, dissemination and catch-up under loss, restarts, pauses and partitions. Times
// are in milliseconds.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "lab/simulated_network.hpp"
#include "replication/replica.hpp"

namespace {

using namespace ochregrade::replication;
using ochregrade::lab::Network;
using ochregrade::lab::SimFleet;

// Whether, in the table of every running member, exactly the running members are known and not dead.
bool all_hold_running_members_alive(const SimFleet& f) {
    for (std::size_t i = 0; i < f.size(); ++i)
        for (std::size_t j = 0; j < f.size(); ++j) {
            if (!f.up(i)) continue;
            const auto& s = f.at(i).member(static_cast<MemberId>(j)).member_state();
            if (f.up(j) != (s.epoch > 0 && s.status != Status::dead)) return false;
        }
    return true;
}

// A fleet whose size, network and faults are drawn from the seed.
class RandomSchedule {
public:
    RandomSchedule(std::uint64_t seed, const Options& options)
        : random_(seed), network_(draw_network()), fleet_(3 + below(8), seed, network_, options) {}

    // Applies faults for some seconds and ends them. Returns whether, within `timeout` (milliseconds) after
    // the end of the faults, all running members have the same state and know exactly the running members as
    // not dead.
    bool converges_within(SimFleet::Millis timeout) {
        fleet_.start_all();
        paused_.resize(fleet_.size());
        for (int step = 0; step < 12; ++step) {
            fleet_.run_for(static_cast<double>(below(1500)));
            apply_random_event(step);
        }
        publish_last_records();
        fleet_.run_for(400);
        end_faults();
        return fleet_.run_until([&] { return fleet_.agree() && all_hold_running_members_alive(fleet_); },
                                timeout, 250);
    }

private:
    std::size_t below(std::size_t bound) { return random_() % bound; }

    Network draw_network() {
        Network network;
        network.loss = static_cast<double>(below(51)) / 100;
        network.duplicate = static_cast<double>(below(30)) / 100;
        network.most_ms = below(4) == 0 ? 2500 : 26;
        return network;
    }

    void apply_random_event(int step) {
        const std::size_t i = below(fleet_.size());
        switch (below(7)) {
            case 0:
                return fleet_.cut({i, below(fleet_.size())}, below(2) == 0, below(2) == 0);
            case 1:
                return fleet_.heal();
            case 2:
                if (fleet_.up(i)) fleet_.kill(i);
                return;
            case 3:
                return restart(i);
            case 4:
                if (fleet_.up(i)) fleet_.pause(i), paused_[i] = true;
                return;
            case 5:
                if (paused_[i]) fleet_.resume(i), paused_[i] = false;
                return;
            default:
                return publish(i, step);
        }
    }

    void restart(std::size_t i) {
        if (fleet_.up(i) || paused_[i]) return;
        // In one of three restarts the clock of the new process is 5 s behind.
        fleet_.set_clock_offset(i, below(3) == 0 ? -5000.0 : 0);
        fleet_.start(i);
    }

    void publish(std::size_t i, int step) {
        if (!fleet_.up(i)) return;
        fleet_.publish(i, static_cast<EndpointKey>(below(4)), {1, static_cast<std::uint8_t>(below(9)), 0, 0});
        fleet_.publish(i, Versions{static_cast<std::uint32_t>(step), 1, 1, 1});
    }

    void publish_last_records() {
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            for (EndpointKey endpoint = 10; fleet_.up(i) && endpoint < 16; ++endpoint)
                fleet_.publish(i, endpoint, {2, 1, 0, 0});
    }

    void end_faults() {
        fleet_.heal();
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            if (paused_[i]) fleet_.resume(i);
        fleet_.network() = Network{};
    }

    std::mt19937_64 random_;
    Network network_;
    SimFleet fleet_;
    std::vector<bool> paused_;
};

TEST(Convergence, AllConnectedMembersAgreeAfterAnySchedule) {
    int not_converged = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        if (RandomSchedule(seed, {}).converges_within(40000)) continue;
        ++not_converged;
        ADD_FAILURE() << "seed " << seed << " did not converge";
        if (not_converged > 5) return;
    }
}

// Shows that the check of the test above can fail: without anti-entropy and catch-up, more than 10 of 100
// fleets do not converge.
TEST(Convergence, FailsWithoutRepair) {
    Options broken;
    broken.repair = false;
    int not_converged = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        not_converged += !RandomSchedule(seed, broken).converges_within(40000);
    EXPECT_GT(not_converged, 10);
}

std::size_t members_with_quorum(const SimFleet& f, EndpointKey endpoint) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < f.size(); ++i)
        n += f.up(i) && std::any_of(f.at(i).evidence().begin(), f.at(i).evidence().end(), [&](const auto& e) {
                 return e.endpoint == endpoint && e.direct_reporters >= 3;
             });
    return n;
}

TEST(Fleet, AFailedEndpointIsKnownEverywhereAtHalfLoss) {
    for (const double loss : {0.0, 0.1, 0.5}) {
        SimFleet f(60, 3, {loss, 0.1, 1, 26});
        f.start_all();
        f.run_for(8000);
        for (std::size_t i = 0; i < 60; i += 12) f.publish(i, 42, {0, 3, 0, 0});
        const bool known =
            f.run_until([&] { return members_with_quorum(f, 42) >= 55; }, loss > 0.3 ? 8000 : 2000);
        EXPECT_TRUE(known) << "loss " << loss << ": " << members_with_quorum(f, 42);
        f.run_for(kEvidenceLifetime + 3000);
        EXPECT_EQ(members_with_quorum(f, 42), 0u) << "evidence expires everywhere";
    }
}

TEST(Fleet, LossAloneDeclaresNoMemberDead) {
    SimFleet f(60, 11, {0.1, 0.1, 1, 26});
    f.start_all();
    f.run_for(60000);
    EXPECT_TRUE(all_hold_running_members_alive(f));
    std::uint64_t declared_dead = 0;
    for (std::size_t i = 0; i < 60; ++i) declared_dead += f.at(i).counts().declared_dead;
    EXPECT_EQ(declared_dead, 0u);
}

TEST(Fleet, SeventyPercentRestartedCatchUp) {
    SimFleet f(60, 5, {0.05, 0.05, 1, 26});
    f.start_all();
    f.run_for(5000);
    f.publish(0, Versions{7, 1, 1, 40});
    f.run_for(2000);
    for (std::size_t i = 18; i < 60; ++i) f.kill(i);
    f.run_for(2000);
    for (std::size_t i = 18; i < 60; ++i) f.start(i);
    const auto caught_up = [&] {
        for (std::size_t i = 18; i < 60; ++i) {
            const auto& v = f.at(i).member(0).versions();
            if (!f.at(i).caught_up() || !v || v->value.epoch != 7) return false;
        }
        return true;
    };
    EXPECT_TRUE(f.run_until(caught_up, 3000));
    EXPECT_TRUE(f.run_until([&] { return f.agree() && all_hold_running_members_alive(f); }, 20000, 250));
}

TEST(Fleet, APausedMemberSuspectsNoMemberAndCatchesUp) {
    SimFleet f(30, 9, {0.02, 0, 1, 26});
    f.start_all();
    f.run_for(5000);
    f.pause(4);
    f.run_for(15000);
    EXPECT_EQ(f.at(0).member(4).member_state().status, Status::dead);
    const auto suspected = f.at(4).counts().suspected;
    f.publish(1, Versions{9, 1, 1, 1});
    f.run_for(1000);
    f.resume(4);
    EXPECT_TRUE(
        f.run_until([&] { return f.at(4).member(1).versions() && all_hold_running_members_alive(f); }, 8000));
    EXPECT_EQ(f.at(4).counts().suspected, suspected);
    EXPECT_EQ(f.at(4).counts().process_pauses, 1u);
}

TEST(Fleet, RecoversFromOneWayAndFullPartitions) {
    for (const bool inbound : {true, false}) {
        SimFleet f(30, 21, {0.05, 0, 1, 26});
        f.start_all();
        f.run_for(5000);
        f.cut({0, 1, 2, 3, 4, 5}, inbound, true);
        f.run_for(20000);
        EXPECT_EQ(f.at(10).member(0).member_state().status, Status::dead);
        f.publish(0, Versions{3, 1, 1, 1});
        f.heal();
        EXPECT_TRUE(f.run_until([&] { return f.agree() && all_hold_running_members_alive(f); }, 30000, 250));
        EXPECT_TRUE(f.at(20).member(0).versions());
    }
}

TEST(Fleet, IdleTrafficPerMemberIsIndependentOfFleetSize) {
    double rate[2];
    for (int i = 0; i < 2; ++i) {
        SimFleet f(i == 0 ? 20 : 150, 2, {});
        f.start_all();
        f.run_for(20000);
        const auto before = f.datagrams();
        f.run_for(20000);
        rate[i] = static_cast<double>(f.datagrams() - before) / 20 / static_cast<double>(f.size());
    }
    EXPECT_LT(rate[0], 4);
    EXPECT_LT(rate[1], rate[0] * 1.3);
}

}  // namespace
