#include "lab/free_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <stdexcept>

namespace ochregrade::lab {

namespace asio = boost::asio;

namespace {

template <class Protocol>
std::uint16_t bind_any_port(const asio::ip::address_v4& address, const Protocol& protocol) {
    asio::io_context io;
    typename Protocol::socket socket(io);
    socket.open(protocol);
    socket.bind({address, 0});
    return socket.local_endpoint().port();
}

}  // namespace

std::uint16_t free_port(const std::string& address, Transport transport) {
    boost::system::error_code error;
    const asio::ip::address_v4 parsed = asio::ip::make_address_v4(address, error);
    if (error) throw std::runtime_error("not an IPv4 address: " + address);
    return transport == Transport::udp ? bind_any_port(parsed, asio::ip::udp::v4())
                                       : bind_any_port(parsed, asio::ip::tcp::v4());
}

}  // namespace ochregrade::lab
