// The watch on discovery. It keeps the list held coming; what can't be read or is older changes nothing.
#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "common/http.hpp"
#include "common/random.hpp"
#include "control/config.hpp"

namespace ochregrade::sidecar {

class DiscoveryClient {
public:
    struct Handlers {
        std::function<void(const EndpointList&)> told;
        // Where lists are asked for: the call or the watch broke. Whoever is told calls watch() again, after
        // a pause of its own. A call that got no answer in its time is repeated here and not told.
        std::function<void()> failed;
    };
    // known: the number of the list held already. on_request: lists are asked for, and their failure told.
    // seed: of how long calls wait.
    DiscoveryClient(asio::io_context& io, const tcp::endpoint& at, std::optional<std::uint64_t> known,
                    bool on_request, std::uint64_t seed, Handlers handlers);

    void watch(bool active);  // where lists are pushed, active from the start
    void fetch();             // the whole list, once
    std::uint64_t seq() const { return seq_; }
    // How often discovery was found to count anew, from 1: a list is known by this and its number.
    std::uint32_t incarnation() const { return incarnation_; }
    // The whole list now, whatever is under way: others hold a newer one, of that incarnation and number.
    void poll_now(std::uint32_t incarnation, std::uint64_t seq);
    void set_polled(bool on_request) { polled_ = on_request; }
    // From now on another address is asked, from the whole list on. What the old one still says is dropped.
    void set_address(const tcp::endpoint& to);

private:
    struct Call;
    void next();
    void call(bool whole);
    void answered(const std::shared_ptr<Call>& call);
    bool counts_anew(const EndpointList& list);
    void unsound(const std::shared_ptr<Call>& call, const std::string& why);
    bool drop_failed(const std::shared_ptr<Call>& call, const std::string& why);
    void failed(const std::shared_ptr<Call>& call, const std::string& why);
    void given_up(const std::shared_ptr<Call>& call, const std::string& why);
    void call_again_soon();

    asio::io_context& io_;
    Random random_;
    tcp::endpoint at_;
    Handlers handlers_;
    std::shared_ptr<Call> call_;
    std::unique_ptr<beast::tcp_stream> kept_;  // the connection for the next call
    asio::steady_timer pause_;
    std::uint64_t seq_ = 0;
    std::uint32_t incarnation_ = 1;
    std::uint32_t claimed_incarnation_ = 0;  // others say so, of that number
    std::uint64_t claimed_seq_ = 0;
    // Whole lists with lower numbers than ours, since when, and the last one's number.
    std::optional<std::chrono::steady_clock::time_point> lower_since_;
    std::uint64_t lower_seq_ = 0;
    bool polled_;
    bool active_ = false;
    bool gap_ = false;  // something may have been missed: the whole list is next
    bool fetch_ = false;
};

}  // namespace ochregrade::sidecar
