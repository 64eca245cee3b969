#include "process/node.hpp"

#include "control/listen_with_retry.hpp"
#include "control/operator_endpoint.hpp"
#include "process/resource_limits.hpp"

namespace ochregrade::sidecar {

namespace {

Start start_without_state(Config config) {
    Start start;
    start.file_document = config.document;
    start.config = std::move(config);
    return start;
}

std::uint64_t first_version(ConfigVersions& versions, const RecoveredState& recovered) {
    versions.continue_from(recovered.next_version);
    return versions.next_version();
}

// The sequence number of the known endpoint list, from which discovery is watched. None without a list, and
// for a list from the state folder: discovery may have restarted its sequence since that list was stored, so
// the complete list is fetched first.
std::optional<std::uint64_t> known_seq(const Start& start) {
    const auto& known = start.config.known_endpoints;
    return known && !start.endpoints_restored ? std::optional(known->seq) : std::nullopt;
}

}  // namespace

Node::Node(asio::io_context& io, Config config) : Node(io, start_without_state(std::move(config))) {}

Node::Node(asio::io_context& io, Start start)
    : io_(io),
      driver_(io, clock_, zones_,
              make_snapshot(start.config, first_version(versions_, start.recovered), zones_),
              upstream_limits(start.config)),
      listener_(io, clock_, driver_, listener_limits(start.config)),
      peers_(io, [this](std::uint32_t from,
                        std::vector<std::uint8_t> bytes) { datagram_received(from, std::move(bytes)); }),
      discovery_(io, start.config.discovery_address, known_seq(start), start.config.settings.polled_discovery,
                 ~start.config.seed,
                 {[this](const EndpointList& list) { endpoints_received(list); },
                  [this] { driver_.discovery_failed(); }}),
      replication_({io, clock_, driver_, discovery_, peers_}, [this] { reload(); }),
      persistence_(io, clock_, std::move(start.state_store), driver_, discovery_),
      config_manager_(
          {io, clock_, zones_, versions_, driver_, listener_, discovery_, peers_, replication_, persistence_},
          start.file_document),
      reloader_(io, config_manager_),
      shutdown_(io, clock_, listener_, driver_) {
    const Config& config = driver_.snapshot()->config;
    versions_.restore(std::move(start.recovered.versions));
    versions_.commit(driver_.snapshot(), start.source, versions_.first_with(config.document), {},
                     clock_.now());
    wire_handlers();
    open_sockets(config);
    driver_.start();
    if (!start.recovered.snapshots.empty()) driver_.restore(start.recovered.snapshots);
    if (!config.settings.polled_discovery) discovery_.watch(true);
    listener_.mark_ready();
    config_manager_.persist_config();
    persistence_.start(config.stable_uptime);
    replication_.configure(config);
}

Node::~Node() = default;

void Node::wire_handlers() {
    driver_.on_final_response = [this](std::uint64_t version, bool served) {
        versions_.record_answer(version, served, clock_.now());
    };
    driver_.on_evidence = [this](replication::EndpointKey endpoint, const replication::Evidence& evidence) {
        replication_.publish(endpoint, evidence);
    };
    listener_.on_invalid_request = [this](const ConfigSnapshotPtr& snapshot, const HttpRequest& head) {
        config_manager_.invalid_request(snapshot, head);
    };
}

void Node::open_sockets(const Config& config) {
    peers_.replace(listen_with_retry("peer_listen", config.peer_listen.value_or(udp::endpoint()),
                                     [&] { return peers_.open(config); }));
    driver_.connect_to(discovery_, peers_.transport());
    listener_.listen(config.listen);
    if (config.operator_endpoint)
        operator_endpoint_ = listen_with_retry("ochregrade.admin.listen", *config.operator_endpoint, [&] {
            return std::make_unique<OperatorEndpoint>(io_, *this, *config.operator_endpoint);
        });
}

std::optional<tcp::endpoint> Node::admin_endpoint() const {
    return operator_endpoint_ ? std::optional(operator_endpoint_->endpoint()) : std::nullopt;
}

void Node::datagram_received(std::uint32_t from, std::vector<std::uint8_t> bytes) {
    if (replication::is_replication_datagram(bytes)) return replication_.receive(from, bytes);
    driver_.gossip_received(from, std::move(bytes));
}

void Node::endpoints_received(const EndpointList& list) {
    driver_.endpoints_received(list);
    replication_.publish_withdrawn(list);
    replication_.publish_versions();
}

void Node::stop(std::function<void()> done) {
    if (stopping()) return;
    config_manager_.stop_canary_watch();
    replication_.leave();
    shutdown_.start([this, done = std::move(done)] {
        persistence_.finish();
        done();
    });
}

}  // namespace ochregrade::sidecar
