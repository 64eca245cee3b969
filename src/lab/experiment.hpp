// An experiment of the fleet lab, as read from a TOML file: the fleet, its servers, its load and its faults.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace ochregrade::lab {

// A field of the experiment file that is missing, of the wrong type or out of range. `field` is its dotted
// path.
struct ExperimentError : std::runtime_error {
    ExperimentError(std::string field, const std::string& what)
        : std::runtime_error(field + ": " + what), field(std::move(field)) {}
    std::string field;
};

// How a guide server stand-in behaves from `at_s` on, for `for_s` seconds (0: to the end).
enum class ServerMode { ok, silent, fail_fast, fail_slow, lose_answers, reset };

// One scheduled fault. Shares are of the fleet (sidecar faults) or of the servers (server faults).
struct Fault {
    enum class Kind {
        kill,       // SIGKILL a share of the sidecars; started again after `for_s`
        stop,       // SIGSTOP, then SIGCONT after `for_s`
        restart,    // SIGTERM and start again, a tenth of the fleet at a time, `for_s` between tenths
        servers,    // a share of the servers in `mode` for `for_s`
        zone,       // the servers of zone `zone` refuse connections for `for_s`, then come back cold
        discovery,  // discovery answers 503 for `for_s`
        partition,  // datagrams to and/or from a share of the sidecars are dropped for `for_s`
        loss,       // datagrams between all sidecars are lost with `probability` for `for_s`
        drain,      // a share of the servers is DRAINING on the list for `for_s`
        anew,       // discovery ends all connections and counts its lists from a lower number on
        stall,      // watches of a share of the sidecars hear of nothing new for `for_s`
        silence,    // watches that a share of the sidecars has open get nothing any more; new ones do
        replace,    // a share of the servers gives way to cold ones under new names, in steps over `for_s`
        settings,   // a new epoch in every file, for a `rollout` share; a share of the sidecars gets SIGHUP
    };
    Kind kind;
    double at_s = 0, for_s = 0, share = 0;
    ServerMode mode = ServerMode::silent;
    std::string zone;
    bool inbound = true, outbound = true;  // partition: which directions are cut
    double probability = 0;                // loss
    double rollout = 1;                    // settings
};

// A class of requests, as clients ask them and sidecars are told them.
struct LoadClass {
    std::string name = "listen";
    bool once = false;        // must not run twice: POST
    double share = 1;         // of the requests, against the other classes'
    double worth = 1;         // of one
    double time_left_ms = 0;  // 0: the load's
    double on_time_ms = 0;    // its aim; 0: the load's
};

struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    double seconds = 20;  // of load, after the fleet is ready
    double warmup_s = 2;  // load runs, but is left out of the summary's figures
    double ready_s = 30;  // the longest wait for every sidecar's /healthz before load starts anyway

    int sidecars = 10;
    std::vector<std::string> zones{"a"};  // sidecars and servers are dealt to zones in turn

    bool agreement = true;  // and ask for newer versions that others act on
    bool shared = false;    // the sidecars take part in the fleet's shared state

    int servers = 10;
    double work_ms = 5;            // mean time of one request on a server of speed 1
    double speed_spread = 0;       // speeds are drawn evenly from [1 - spread, 1 + spread]
    int server_concurrency = 8;    // requests a server of speed 1 works on at once
    int server_connections = 256;  // connections a server holds; more are closed at once
    double queue_ms = 200;         // a request that would wait longer is turned away (503, X-Unprocessed)
    double handshake_ms = 5;  // work that a new connection costs a server of speed 1, like a TLS handshake
    double idle_close_ms = 60000;  // servers close a connection idle for this long
    double cold_from = 0.2;        // share of its capacity that a just-started server has
    double warm_ms = 5000;         // time until a started server has all of it

    double rate = 10;           // requests per second per sidecar, on average (Poisson)
    double heavy_share = 0;     // a share of the sidecars...
    double heavy_multiple = 1;  // ...gets this multiple of the rate
    double time_left_ms = 1000;
    double on_time_ms = 250;      // the class's aim, as the sidecars are told it
    int retries = 2;              // a client tries again at most so often after a refusal
    int client_connections = 16;  // per sidecar, at the most
    std::vector<LoadClass> classes{LoadClass{}};

    double relay_delay_ms = 0;   // datagrams between sidecars: fixed delay plus up to as much again
    double relay_loss = 0;       // and a share of them lost, from the start
    double relay_duplicate = 0;  // and a share delivered twice

    std::vector<Fault> faults;
};

// Reads an experiment; throws ExperimentError naming the first bad field.
Experiment load_experiment(const std::string& path);

}  // namespace ochregrade::lab
