/// @file
/// A fault that an experiment schedules: what happens, when, for how long and to which share of the fleet.
#pragma once

#include <string>
#include <string_view>

namespace ochregrade::lab {

/// How a fake server answers requests.
enum class ServerMode {
    ok,
    silent,        ///< never answers
    fail_fast,     ///< 500 at once
    fail_slow,     ///< 500 after five times the work
    lose_answers,  ///< does the work, never answers
    reset,         ///< resets the connection
};

enum class FaultKind {
    kill,       ///< SIGKILL a share of the sidecars; started again after `for_s`
    stop,       ///< SIGSTOP, then SIGCONT after `for_s`
    restart,    ///< SIGTERM and start again, a tenth of the fleet at a time, `for_s` between tenths
    servers,    ///< a share of the servers in `mode` for `for_s` (0: to the end)
    zone,       ///< the servers of zone `zone` refuse connections for `for_s`, then come back cold
    discovery,  ///< discovery answers 503 for `for_s`
    partition,  ///< datagrams to and/or from a share of the sidecars are dropped for `for_s`
    loss,       ///< datagrams between all sidecars are lost with `probability` for `for_s`
    drain,      ///< a share of the servers is DRAINING on the list for `for_s`
    anew,       ///< discovery restarts: ends all connections and numbers its lists from 1
    stall,      ///< watches of a share of the sidecars see no new list for `for_s`
    silence,    ///< watches that a share of the sidecars has open get nothing any more; new ones do
    replace,    ///< a release: a share of the servers is replaced by cold ones, in steps over `for_s`
    settings,   ///< a new epoch in every file, for a `rollout` share; a share of the sidecars gets SIGHUP
};

/// The kind's name in experiment files, events and reports.
std::string_view to_string(FaultKind kind);

/// One scheduled fault. Shares are of the sidecars or of the servers, as the kind has it.
struct Fault {
    FaultKind kind{};
    double at_s = 0;   ///< after load starts
    double for_s = 0;  ///< how long it lasts
    double share = 0;
    ServerMode mode = ServerMode::silent;
    std::string zone;
    bool inbound = true;     ///< partition: whether datagrams to the share are dropped
    bool outbound = true;    ///< partition: whether datagrams from the share are dropped
    double probability = 0;  ///< loss
    double rollout = 1;      ///< settings: share of the fleet that the new settings are for
};

}  // namespace ochregrade::lab
