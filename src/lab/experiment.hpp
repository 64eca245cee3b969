/// @file
/// An experiment of the fleet lab, as read from a TOML file: the fleet, its servers, its load and its faults.
/// Keys of the file are in docs/LAB.md; times end in _s (seconds) or _ms (milliseconds).
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/fault.hpp"

namespace ochregrade::lab {

/// A field of the experiment file that is missing, of the wrong type or out of range.
struct ExperimentError : std::runtime_error {
    ExperimentError(std::string field_path, const std::string& reason)
        : std::runtime_error(field_path + ": " + reason), field(std::move(field_path)) {}
    std::string field;  ///< its dotted path
};

/// A class of requests, as clients send them and sidecars are configured for them.
struct LoadClass {
    std::string name = "listen";
    bool not_idempotent = false;      ///< must not run twice: POST (key `once`)
    double share = 1;                 ///< of the requests, against the other classes'
    double priority_weight = 1;       ///< of one request (key `worth`)
    double timeout_ms = 0;            ///< key `time_left_ms`; 0: the load's
    double latency_objective_ms = 0;  ///< key `on_time_ms`; 0: the load's
};

struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    double seconds = 20;  ///< of load, after the fleet is ready
    double warmup_s = 2;  ///< load runs, but is left out of the summary's figures
    double ready_s = 30;  ///< the longest wait for every sidecar's /healthz before load starts anyway

    int sidecars = 10;
    std::vector<std::string> zones{"a"};  ///< sidecars and servers are assigned to zones in turn

    bool shared = false;    ///< the sidecars take part in the fleet's shared state
    bool agreement = true;  ///< and ask for newer versions that others act on

    int servers = 10;
    double work_ms = 5;            ///< mean time of one request on a server of speed 1
    double speed_spread = 0;       ///< speeds are drawn evenly from [1 - spread, 1 + spread]
    int server_concurrency = 8;    ///< requests a server of speed 1 works on at once
    int server_connections = 256;  ///< connections a server accepts; more are reset at once
    double queue_ms = 200;         ///< a request that would wait longer is rejected (503, X-Unprocessed)
    double handshake_ms = 5;       ///< work that a new connection costs a server of speed 1, as TLS does
    double idle_close_ms = 60000;  ///< servers close a connection idle for this long
    double slow_start_least_share = 0.2;  ///< of its capacity, at a server's start (key `cold_from`)
    double slow_start_ms = 5000;          ///< until a started server has all of it (key `warm_ms`)

    double rate = 10;                   ///< requests per second per sidecar, on average (Poisson)
    double heavy_share = 0;             ///< a share of the sidecars...
    double heavy_multiple = 1;          ///< ...gets this multiple of the rate
    double timeout_ms = 1000;           ///< key `time_left_ms`
    double latency_objective_ms = 250;  ///< key `on_time_ms`
    int retries = 2;                    ///< a client tries again at most so often after a rejection
    int client_connections = 16;        ///< per sidecar, at the most
    std::vector<LoadClass> classes{LoadClass{}};

    double relay_delay_ms = 0;   ///< datagrams between sidecars: fixed delay plus up to as much again
    double relay_loss = 0;       ///< and a share of them lost, from the start
    double relay_duplicate = 0;  ///< and a share delivered twice

    std::vector<Fault> faults;

    /// The zone of the sidecar or server of this index.
    const std::string& zone_of(int index) const {
        return zones[static_cast<std::size_t>(index) % zones.size()];
    }
};

/// Reads an experiment; throws ExperimentError naming the first bad field, `(file)` for one that isn't TOML.
Experiment load_experiment(const std::string& path);

}  // namespace ochregrade::lab
