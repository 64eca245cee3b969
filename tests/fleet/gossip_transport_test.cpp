// The gossip transport sends and accepts only datagrams of at most 256 bytes, and accepts datagrams only from
// the addresses of peers.
#include "fleet/gossip_transport.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(GossipTransport, AcceptsOnlyShortDatagramsFromPeers) {
    asio::io_context io(1);
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket peer(io, any), stranger(io, any);
    udp::endpoint address;
    {
        udp::socket probe(io, any);
        address = probe.local_endpoint();
    }
    std::vector<std::vector<std::uint8_t>> received;
    const auto transport = std::make_shared<GossipTransport>(
        io, address, [&](std::uint32_t from, std::vector<std::uint8_t> bytes) {
            EXPECT_EQ(from, 1u);
            received.push_back(std::move(bytes));
            io.stop();
        });
    transport->set_peers({address, peer.local_endpoint()}, std::nullopt);
    transport->listen();
    const std::vector<std::uint8_t> longest_accepted(256, 1), too_long(257, 2), short_one(4, 3);
    stranger.send_to(asio::buffer(short_one), address);
    peer.send_to(asio::buffer(too_long), address);
    peer.send_to(asio::buffer(longest_accepted), address);
    io.run_for(kPatience);
    EXPECT_EQ(received, std::vector<std::vector<std::uint8_t>>{longest_accepted});
    transport->send(1, too_long);  // over the length limit, so not sent
    transport->send(1, short_one);
    std::array<std::uint8_t, 512> bytes{};
    EXPECT_EQ(peer.receive(asio::buffer(bytes)), short_one.size());
}

}  // namespace
}  // namespace ochregrade::sidecar
