// Datagrams between sidecars.
#include "fleet/gossip_transport.hpp"

#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(PeerMessages, OnlyShortOnesFromPeersAreHeard) {
    asio::io_context io(1);
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket peer(io, any), stranger(io, any);
    udp::endpoint at;
    {
        udp::socket probe(io, any);
        at = probe.local_endpoint();
    }
    std::vector<std::vector<std::uint8_t>> heard;
    const auto peers =
        std::make_shared<GossipTransport>(io, at, [&](std::uint32_t from, std::vector<std::uint8_t> bytes) {
            EXPECT_EQ(from, 1u);
            heard.push_back(std::move(bytes));
            io.stop();
        });
    peers->set_peers({at, peer.local_endpoint()}, std::nullopt);
    peers->listen();
    const std::vector<std::uint8_t> fit(256, 1), long_one(257, 2), word(4, 3);
    stranger.send_to(asio::buffer(word), at);
    peer.send_to(asio::buffer(long_one), at);
    peer.send_to(asio::buffer(fit), at);
    io.run_for(kPatience);
    EXPECT_EQ(heard, std::vector<std::vector<std::uint8_t>>{fit});
    peers->send(1, long_one);  // would break the rule on length: stays here
    peers->send(1, word);
    std::array<std::uint8_t, 512> bytes{};
    EXPECT_EQ(peer.receive(asio::buffer(bytes)), word.size());
}

}  // namespace
}  // namespace ochregrade::sidecar
