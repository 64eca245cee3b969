// The datagram relay between sidecars' `peer_listen`. Each sidecar is told the relay's socket for each peer
// in place of the peer, so every datagram passes here, where it may be dropped, delayed, duplicated or cut
// off with a set of sidecars, and is passed on from the socket that stands for its sender: the receiver sees
// the sender's address in `peers`, as the protocol page has it.
#pragma once

#include <boost/asio.hpp>
#include <map>
#include <random>
#include <vector>

#include "lab/experiment.hpp"
#include "lab/record.hpp"

namespace ochregrade::lab {

namespace asio = boost::asio;
using asio::ip::udp;

class Relay {
public:
    Relay(asio::io_context& io, const Experiment& experiment, Recorder& recorder);

    std::uint16_t port(int sidecar) const {
        return sockets_[static_cast<std::size_t>(sidecar)]->local_endpoint().port();
    }
    std::uint16_t all_port() const { return all_->local_endpoint().port(); }
    // Where that sidecar's datagrams come from and go.
    void bind_peer(int sidecar, udp::endpoint peer_listen);

    void cut(const std::vector<int>& sidecars, bool inbound, bool outbound);  // adds to what is cut
    void heal();
    void set_loss(double share) { loss_ = share; }
    double loss() const { return loss_; }
    std::uint64_t oversize() const { return oversize_; }

private:
    asio::awaitable<void> receive(int to);  // to < 0: for all
    void pass(int from, int to, const std::vector<std::uint8_t>& bytes);
    void send(int from, int to, std::vector<std::uint8_t> bytes);

    asio::io_context& io_;
    const Experiment& experiment_;
    Recorder& recorder_;
    std::vector<std::unique_ptr<udp::socket>> sockets_;
    std::unique_ptr<udp::socket> all_;
    std::vector<udp::endpoint> peers_;
    std::map<udp::endpoint, int> by_endpoint_;
    std::vector<std::uint8_t> cut_in_, cut_out_;
    double loss_;
    std::mt19937_64 random_;
    std::size_t pending_ = 0;
    std::uint64_t oversize_ = 0;
};

}  // namespace ochregrade::lab
