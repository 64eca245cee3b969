/// @file
/// Hosts many balancer instances behind the simulator's text protocol. The host reads batches of events,
/// passes each event to the instance that the event names, and writes the resulting actions after each batch.
///
/// A batch starts with MARK (the time in ms and a frame number) and ends with OVER_TO_YOU; the output for a
/// batch ends with END. The host makes no load-balancing decisions; src/balancer makes them.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ochregrade/balancer.hpp"
#include "simulator/instance.hpp"
#include "simulator/message.hpp"

namespace ochregrade::wire {

/// One endpoint of a catalog. A catalog is a numbered endpoint list of the simulator, to which later messages
/// refer by its number.
struct CatalogEntry {
    std::string endpoint;
    std::string zone;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::serving;
    Millis started_at = 0;
    double capacity_weight = 1;
};

class BalancerHost {
public:
    BalancerHost(std::istream& in, std::ostream& out, std::ostream& err);

    /// Runs until the end of input. Returns the process's exit status: 0, or 2 after malformed input. One
    /// line on `err` then names the line, message and field.
    int run();

private:
    using EventHandler = void (BalancerHost::*)(Instance& instance, const Message& message);
    static EventHandler handler_for(std::string_view kind);

    bool next_line(std::string& line);
    void handle_batch(const Message& mark);
    void handle_message(const Message& message);
    void report_unknown_kind(std::string_view kind);

    void store_catalog(const Message& message);
    CatalogEntry read_catalog_entry();
    const std::vector<CatalogEntry>& catalog(const Message& message) const;
    void start_instance(const Message& message);

    // Handlers of events that name a running instance.
    void stop_instance(Instance& instance, const Message& message);
    void update_endpoints(Instance& instance, const Message& message);
    void request_arrived(Instance& instance, const Message& message);
    void response_started(Instance& instance, const Message& message);
    void client_disconnected(Instance& instance, const Message& message);
    void attempt_ended(Instance& instance, const Message& message);
    void timer_fired(Instance& instance, const Message& message);
    void probe_ended(Instance& instance, const Message& message);
    void gossip_received(Instance& instance, const Message& message);

    /// Passes the event to the instance's balancer and writes the resulting actions.
    void dispatch(Instance& instance, const Event& event);

    std::istream& in_;
    std::ostream& out_;
    std::ostream& err_;
    std::size_t line_number_ = 0;
    Millis now_ = 0;
    std::string reply_;  // output for the current batch
    std::array<std::vector<CatalogEntry>, 16> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;  // each kind is reported once
    std::vector<Action> actions_;             // of one event; a member so that its memory is reused
};

}  // namespace ochregrade::wire
