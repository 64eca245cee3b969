// The lab's datagram relay: what it forwards, from which address, and what its faults drop or duplicate.
#include "lab/relay.hpp"

#include <gtest/gtest.h>

namespace {

using boost::asio::ip::udp;
using ochregrade::lab::Relay;
namespace asio = boost::asio;

struct RelayWithPeers {
    explicit RelayWithPeers(double loss = 0, double duplicate = 0) {
        experiment.sidecars = 3;
        experiment.seconds = 10;
        experiment.relay_loss = loss;
        experiment.relay_duplicate = duplicate;
        relay = std::make_unique<Relay>(io, experiment, recorder);
        for (int i = 0; i < 3; ++i) {
            peers.emplace_back(io, udp::endpoint(asio::ip::address_v4::loopback(), 0));
            peers.back().non_blocking(true);
            relay->bind_peer(i, peers.back().local_endpoint());
        }
        recorder.start(std::chrono::steady_clock::now());
    }
    void send(int from, int to, std::size_t size = 8) {
        const std::vector<std::uint8_t> bytes(size, static_cast<std::uint8_t>(from));
        const udp::endpoint at(asio::ip::address_v4::loopback(),
                               to < 0 ? relay->broadcast_port() : relay->port(to));
        peers[static_cast<std::size_t>(from)].send_to(asio::buffer(bytes), at);
    }
    // Runs the relay until it has handled this many datagrams (a copy to each receiver counts), 5 s at most.
    void settle(std::uint64_t datagrams) {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (recorder.seconds()[0].datagrams < datagrams && std::chrono::steady_clock::now() < until)
            io.run_for(std::chrono::milliseconds(5));
    }
    // What reached `at` so far: the sender's relay port each. The relay sends at once, so after settle() all
    // that passed is in the receiver's buffer.
    std::vector<std::uint16_t> received(int at) {
        std::vector<std::uint16_t> from;
        std::uint8_t buffer[512];
        for (;;) {
            udp::endpoint sender;
            boost::system::error_code ec;
            peers[static_cast<std::size_t>(at)].receive_from(asio::buffer(buffer), sender, 0, ec);
            if (ec) break;
            from.push_back(sender.port());
        }
        return from;
    }
    asio::io_context io;
    ochregrade::lab::Experiment experiment;
    ochregrade::lab::Recorder recorder{1, 3, 10};
    std::unique_ptr<Relay> relay;
    std::vector<udp::socket> peers;
};

TEST(Relay, PassesADatagramFromTheSendersOwnAddress) {
    RelayWithPeers setup;
    setup.send(0, 1);
    setup.settle(1);
    EXPECT_EQ(setup.received(1), std::vector<std::uint16_t>{setup.relay->port(0)});
    EXPECT_TRUE(setup.received(2).empty());
}

TEST(Relay, ToAllReachesEveryoneButTheSender) {
    RelayWithPeers setup;
    setup.send(2, -1);
    setup.settle(2);
    EXPECT_EQ(setup.received(0), std::vector<std::uint16_t>{setup.relay->port(2)});
    EXPECT_EQ(setup.received(1), std::vector<std::uint16_t>{setup.relay->port(2)});
    EXPECT_TRUE(setup.received(2).empty());
}

TEST(Relay, CutsOffOneWayOrBothAndHeals) {
    RelayWithPeers setup;
    setup.relay->cut({1}, /*inbound=*/true, /*outbound=*/false);
    setup.send(0, 1);
    setup.send(1, 0);
    setup.settle(2);
    EXPECT_TRUE(setup.received(1).empty());
    EXPECT_EQ(setup.received(0).size(), 1u);  // what 1 sends still goes out
    setup.relay->heal();
    setup.send(0, 1);
    setup.settle(3);
    EXPECT_EQ(setup.received(1).size(), 1u);
}

TEST(Relay, LosesRepeatsAndRefusesOversize) {
    RelayWithPeers lossy(/*loss=*/1.0);
    lossy.send(0, 1);
    lossy.settle(1);
    EXPECT_TRUE(lossy.received(1).empty());
    RelayWithPeers twice(/*loss=*/0, /*duplicate=*/1.0);
    twice.send(0, 1);
    twice.settle(1);
    EXPECT_EQ(twice.received(1).size(), 2u);
    RelayWithPeers setup;
    setup.send(0, 1, 257);
    setup.settle(1);
    EXPECT_TRUE(setup.received(1).empty());
    EXPECT_EQ(setup.relay->oversize(), 1u);
}

}  // namespace
