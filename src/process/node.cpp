#include "process/node.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

#include "common/log.hpp"
#include "common/open_with_retry.hpp"
#include "control/operator_endpoint.hpp"
#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

namespace {

// New connections go on coming for a while after the signal. Those that rest are closed this much earlier
// than the last are taken: whose request crosses the close asks once more on a new one.
constexpr std::chrono::milliseconds kAcceptOn{600}, kAskAgain{100}, kLook{10};
// What is still held by then has passed every deadline; the kill is near.
constexpr Millis kLastMoment = 500;
// And what comes late in a drain has its answer this long before. However long the deadlines, the kill may
// come 0.7 s after the longest one or after this.
constexpr Millis kTellAll = 50, kKillAfter = 3000;
// How often a file that can't be read is read, and how long after: within the 4 s that a change may take.
constexpr int kReads = 30;
constexpr std::chrono::milliseconds kReread{100};
// How often a trial is looked at.
constexpr Millis kShortLook = 20, kLongLook = 500;
// How often it is looked whether there is something new to keep.
constexpr Millis kKeepEvery = 1000;

// Descriptors for all but connections: the log, the loop, the listener, discovery, peers, and some to spare.
constexpr std::size_t kSpare = 32;
// Of the rest, more for clients than for servers: clients also hold idle ones and ones that say nothing.
constexpr double kForClients = 0.62;
// Of the memory, for the bodies of requests held. Each is there up to three times: read, kept, and on its
// way.
constexpr std::size_t kBodyPart = 12;
// What a server sends behind its answer, a second one above all, follows it within milliseconds and would be
// taken for the next request's answer. A connection left alone that long is noticed to have more to say. It
// costs each server's pool no more than the connections that are asked of it within this time.
constexpr Millis kSettle = 25;

std::size_t connections(const Config& config) {
    rlimit limit{};
    std::size_t most = config.sockets;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) most = std::min<std::size_t>(most, limit.rlim_cur);
    return std::max(most, kSpare + 16) - kSpare;
}
std::size_t from_clients(const Config& config) {
    return static_cast<std::size_t>(static_cast<double>(connections(config)) * kForClients);
}

UpstreamPool::Limits upstream_limits(const Config& config) {
    return {config.connect_timeout, config.idle_timeout, connections(config) - from_clients(config), kSettle};
}
Listener::Limits listener_limits(const Config& config) {
    return {from_clients(config) - 1,  // it takes one over the limit
            std::max<std::size_t>(kMaxBody, (config.memory_mb << 20) / kBodyPart)};
}

// Descriptors that are not there can't be promised. What was in force at the start is held to what there is.
void check_descriptors(const Config& config, const Config& running) {
    rlimit limit{};
    if (config.sockets <= running.sockets || getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
    if (config.sockets > limit.rlim_cur)
        throw ConfigError("limits.sockets", "asks for more descriptors than the system allows, which is " +
                                                std::to_string(limit.rlim_cur));
}

// Settings that count epochs go forward only, and an epoch means the same settings everywhere.
void check_epoch(const Config& config, const ConfigSnapshot& running) {
    if (config.epoch < running.epoch)
        throw ConfigError("ochregrade.epoch", "goes back from " + std::to_string(running.epoch) +
                                                  ": what was before needs a newer epoch too");
    if (config.epoch > 0 && config.epoch == running.epoch &&
        config.settings_hash != running.config.settings_hash)
        throw ConfigError("ochregrade.epoch", "is in force already, with other settings");
}

ConfigChange refusal(std::uint64_t generation, std::vector<ValidationError> complaints) {
    return {ConfigChange::Result::refused, generation, std::move(complaints), {}};
}

}  // namespace

const char* to_string(ConfigChange::Result result) {
    switch (result) {
        case ConfigChange::Result::applied:
            return "applied";
        case ConfigChange::Result::unchanged:
            return "unchanged";
        case ConfigChange::Result::staged:
            return "staged";
        case ConfigChange::Result::sound:
            return "sound";
        case ConfigChange::Result::refused:
            return "refused";
        case ConfigChange::Result::conflict:
            return "conflict";
        case ConfigChange::Result::missing:
            break;
    }
    return "missing";
}

// What a commit needs, with all that could fail behind it.
struct Node::Prepared {
    std::shared_ptr<ConfigSnapshot> snapshot;
    std::shared_ptr<GossipTransport> peers;  // the ones in use, others, or none
    bool other_peers = false;
};

namespace {
Start plain(Config config) {
    Start s;
    s.file_document = config.document;
    s.config = std::move(config);
    return s;
}
std::uint64_t first_number(ConfigVersions& generations, const RecoveredState& recovered) {
    generations.continue_from(recovered.next_version);
    return generations.next_version();
}
}  // namespace

Node::Node(asio::io_context& io, Config config) : Node(io, plain(std::move(config))) {}

Node::Node(asio::io_context& io, Start start)
    : io_(io),
      keeper_(std::move(start.keeper)),
      file_(start.file_document),
      sidecar_(io, clock_, zones_, snapshot_of(start.config, first_number(generations_, start.recovered)),
               upstream_limits(start.config)),
      listener_(io, clock_, sidecar_, listener_limits(start.config)),
      peers_(listen_with_retry("peer_listen", start.config.peer_listen.value_or(udp::endpoint()),
                               [&] { return open_peers(start.config); })),
      // A stored list is a start and no more: discovery may count anew by now, so the whole list comes first.
      discovery_(
          io, start.config.discovery_address,
          start.config.known_endpoints && !start.endpoints_restored
              ? std::optional(start.config.known_endpoints->seq)
              : std::nullopt,
          start.config.settings.polled_discovery, ~start.config.seed,
          {[this](const EndpointList& list) { listed(list); }, [this] { sidecar_.endpoints_failed(); }}),
      timer_(io),
      trial_timer_(io),
      keep_timer_(io),
      reread_timer_(io) {
    const Config& config = sidecar_.snapshot()->config;
    generations_.restore(std::move(start.recovered.versions));
    generations_.commit(sidecar_.snapshot(), start.source, generations_.first_with(config.document), {},
                        clock_.now());
    if (peers_) {
        peers_->set_peers(config.peers, config.peers_all);
        peers_->listen();
    }
    sidecar_.connect_to(discovery_, peers_.get());
    sidecar_.on_final_answer = [this](std::uint64_t generation, bool served) {
        generations_.record_answer(generation, served, clock_.now());
    };
    listener_.on_invalid_request = [this](const ConfigSnapshotPtr& snapshot, const HttpRequest& head) {
        misfit(snapshot, head);
    };
    sidecar_.on_evidence = [this](replication::EndpointKey server, const replication::Evidence& evidence) {
        if (shared_) shared_->publish(server, evidence);
    };
    listener_.listen(config.listen);
    if (config.operator_endpoint)
        admin_ = listen_with_retry("ochregrade.admin.listen", *config.operator_endpoint, [&] {
            return std::make_unique<OperatorEndpoint>(io, *this, *config.operator_endpoint);
        });
    sidecar_.start();
    if (!start.recovered.snapshots.empty()) sidecar_.restore(start.recovered.snapshots);
    if (!config.settings.polled_discovery) discovery_.watch(true);
    listener_.open_for_use();
    lived_after_ = config.stable_uptime;
    keep_config();
    if (keeper_) keep_on();
    share(config);
}

Node::~Node() {
    if (peers_) peers_->stop();
}

std::optional<tcp::endpoint> Node::admin_endpoint() const {
    return admin_ ? std::optional(admin_->endpoint()) : std::nullopt;
}

void Node::stop(std::function<void()> done) {
    if (stopped_) return;
    stopped_ = std::move(done);
    trial_timer_.cancel();  // it stays undecided
    if (shared_) shared_->leave();
    const Millis longest = sidecar_.snapshot()->config.longest_deadline;
    stop_at_ = clock_.now() + longest + kLastMoment;
    tell_off_at_ = clock_.now() + std::min(longest, kKillAfter) + kLastMoment - kTellAll;
    listener_.drain(tell_off_at_);
    timer_.expires_after(kAcceptOn - kAskAgain);
    timer_.async_wait([this](error_code ec) {
        if (ec) return;
        listener_.close_idle();
        timer_.expires_after(kAskAgain);
        timer_.async_wait([this](error_code stop) {
            if (!stop) wind_down();
        });
    });
}

// ---- Changes of the configuration -------------------------------------------------------------------------

std::shared_ptr<ConfigSnapshot> Node::snapshot_of(Config config, std::uint64_t generation) {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->version = generation;
    snapshot->epoch = config.epoch;
    Settings settings = config.settings;
    settings.evidence_shared = config.joins_replication();
    if (config.local_zone) settings.local_zone = zones_.number(*config.local_zone);
    snapshot->settings = std::make_shared<const Settings>(std::move(settings));
    snapshot->config = std::move(config);
    return snapshot;
}

std::shared_ptr<GossipTransport> Node::open_peers(const Config& config) {
    if (!config.peer_listen || !config.settings.gossip_allowed) return nullptr;
    return std::make_shared<GossipTransport>(io_, *config.peer_listen,
                                             [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                                                 if (!replication::is_shared_state(bytes))
                                                     return sidecar_.gossip_received(from, std::move(bytes));
                                                 if (shared_) shared_->receive(from, bytes);
                                             });
}

// Its place in the fleet may be another from here on; what it said so far is then forgotten by its life's
// end.
void Node::share(const Config& config) {
    if (shared_ && shared_->matches(config)) return;
    if (shared_) shared_->leave();
    shared_.reset();
    if (!config.joins_replication() || !peers_) return;
    shared_ = std::make_unique<ReplicationDriver>(
        io_, clock_, config,
        ReplicationDriver::Handlers{
            [this](std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
                if (peers_) peers_->send(to, bytes);
            },
            [this] { sidecar_.evidence_received(shared_->replica().evidence()); },
            [this](const replication::VersionId& claimed) {
                discovery_.poll_now(claimed.major, claimed.minor);
            },
            [this](const replication::VersionId&) { reload(); }});
    shared_->start();
    say_versions();
}

// What it acts on, to the others and to the log: the log's times are what the lab checks agreement by.
void Node::say_versions() {
    if (!shared_) return;
    const ConfigSnapshot& s = *sidecar_.snapshot();
    const auto seq = std::min<std::uint64_t>(discovery_.seq(), std::numeric_limits<std::uint32_t>::max());
    const replication::Versions now{s.epoch, s.epoch ? s.config.settings_hash : 0, discovery_.incarnation(),
                                    static_cast<std::uint32_t>(seq)};
    if (now != acting_) {
        char line[96];
        std::snprintf(line, sizeof line, "acts on settings %u.%08x list %u.%u", now.epoch, now.hash,
                      now.list_incarnation, now.list_seq);
        log_line(line);
    }
    acting_ = now;
    shared_->set_versions(now, std::max(settled_, s.epoch));
}

void Node::listed(const EndpointList& list) {
    sidecar_.endpoints_received(list);
    if (shared_)
        for (const ListedEndpoint& host : list.endpoints)
            if (host.state != EndpointState::serving)
                shared_->report_withdrawn(sidecar_.endpoint_key_of(host));
    say_versions();
}

Node::Prepared Node::prepare(Config config) {
    Prepared p;
    const Config& running = sidecar_.snapshot()->config;
    check_descriptors(config, running);
    const bool wanted = config.peer_listen && config.settings.gossip_allowed;
    p.other_peers = wanted ? !peers_ || peers_->endpoint() != *config.peer_listen : peers_ != nullptr;
    if (!p.other_peers) {
        p.peers = peers_;
    } else {
        try {
            p.peers = open_peers(config);
        } catch (const boost::system::system_error& error) {
            throw ConfigError("peer_listen", "can't be listened on: " + error.code().message());
        }
    }
    if (p.peers && p.other_peers) p.peers->set_peers(config.peers, config.peers_all);
    p.snapshot = snapshot_of(std::move(config), generations_.next_version());
    return p;
}

// What an earlier life kept was not read with this one's fixed fields.
Node::Prepared Node::prepare_again(const ConfigVersions::Entry& entry) {
    const Config& running = sidecar_.snapshot()->config;
    nlohmann::json document = nlohmann::json::parse(entry.snapshot->config.document);
    const nlohmann::json now = nlohmann::json::parse(running.document);
    for (const char* field : {"name", "listen"}) document[field] = now.at(field);
    for (const char* field : {"admin", "state"}) {
        if (document.contains("ochregrade")) document["ochregrade"].erase(field);
    }
    keep_fixed(document, now);
    return prepare(read_candidate(document, running, false));
}

// Nothing here waits or can be refused: from the first line to the last nothing else happens in this process.
void Node::commit(Prepared p, ConfigVersions::Source source, std::uint64_t content, const CanaryRule& rule) {
    const Millis start = clock_.now();
    const Config& config = p.snapshot->config;
    const ConfigSnapshotPtr before = sidecar_.snapshot();  // to the end, whoever else lets go of it
    const bool back = source == ConfigVersions::Source::rollback || source == ConfigVersions::Source::canary;
    if (back && before->epoch > 0) p.snapshot->epoch = before->epoch + 1;
    discovery_.set_polled(config.settings.polled_discovery);
    sidecar_.apply(p.snapshot, upstream_limits(config));
    if (p.other_peers) {
        if (peers_) peers_->stop();
        peers_ = std::move(p.peers);
        if (peers_) peers_->listen();
        sidecar_.connect_to(discovery_, peers_.get());
    } else if (peers_) {
        peers_->set_peers(config.peers, config.peers_all);
    }
    share(config);
    listener_.set_limits(listener_limits(config));
    discovery_.set_address(config.discovery_address);
    if (!config.settings.polled_discovery) discovery_.watch(true);
    generations_.commit(p.snapshot, source, content, rule, start);
    log_line("generation " + std::to_string(p.snapshot->version) + " of the configuration is in force (" +
             to_string(source) + ")");
    keep_config();
    say_versions();
    watch_trial();
    counts_.last_pause = clock_.now() - start;
    counts_.longest_pause = std::max(counts_.longest_pause, counts_.last_pause);
}

void Node::keep_config() {
    if (keeper_) keeper_->save_config(generations_, file_);
}

void Node::keep_world() {
    if (!keeper_ || discovery_.seq() == 0) return;  // what discovery has not told is no news
    EndpointList list = sidecar_.endpoints();
    list.seq = discovery_.seq();
    std::ostringstream at;
    at << sidecar_.snapshot()->config.discovery_address;
    keeper_->save_endpoints(list, at.str(), sidecar_.endpoint_snapshots());
}

void Node::keep_on() {
    const Millis wait = lived_ ? kKeepEvery : std::min(kKeepEvery, lived_after_);
    keep_timer_.expires_at(clock_.point(clock_.now() + wait));
    keep_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        if (!lived_ && clock_.now() >= started_ + lived_after_) {
            lived_ = true;
            keeper_->confirm_stable_uptime();
        }
        keep_world();
        keep_on();
    });
}

ConfigChange Node::change(const nlohmann::json& candidate, ConfigVersions::Source source, bool strict,
                          const ConfigChangeOptions& options) {
    const Millis start = clock_.now();
    const ConfigSnapshotPtr running = sidecar_.snapshot();
    if (options.expected && *options.expected != running->version)
        return {ConfigChange::Result::conflict, running->version, {}, "another generation is in force"};
    try {
        Config config = read_candidate(candidate, running->config, strict);
        const CanaryRule rule = options.trial.value_or(config.canary);
        if (!strict) log_unknown_fields(candidate);
        if (config.document == running->config.document) {
            if (!options.dry_run && source == ConfigVersions::Source::file) file_ = config.document;
            keep_config();
            counts_.unchanged += options.dry_run ? 0 : 1;
            return {ConfigChange::Result::unchanged, running->version, {}, {}};
        }
        check_epoch(config, *running);
        if (!config.in_rollout()) {
            if (!options.dry_run) {
                if (settled_ < config.epoch)
                    log_line("epoch " + std::to_string(config.epoch) + " is for another part of the fleet");
                settled_ = std::max(settled_, config.epoch);
                say_versions();
            }
            return {ConfigChange::Result::staged, running->version, {}, {}};
        }
        if (options.dry_run) check_descriptors(config, running->config);
        if (options.dry_run) return {ConfigChange::Result::sound, running->version, {}, {}};
        Prepared prepared = prepare(std::move(config));
        if (source == ConfigVersions::Source::file) file_ = prepared.snapshot->config.document;
        commit(std::move(prepared), source, 0, rule);
    } catch (const ConfigError& error) {
        counts_.refused += options.dry_run ? 0 : 1;
        return refusal(running->version, error.errors);
    } catch (const std::exception& error) {  // memory above all
        counts_.refused += options.dry_run ? 0 : 1;
        return refusal(running->version, {{"the configuration", error.what()}});
    }
    ++counts_.applied;
    counts_.last_change = clock_.now() - start;
    counts_.longest_change = std::max(counts_.longest_change, counts_.last_change);
    return {ConfigChange::Result::applied, sidecar_.snapshot()->version, {}, {}};
}

ConfigChange Node::roll_back(std::optional<std::uint64_t> to, std::optional<std::uint64_t> expected) {
    const std::uint64_t now = sidecar_.snapshot()->version;
    if (expected && *expected != now)
        return {ConfigChange::Result::conflict, now, {}, "another generation is in force"};
    const ConfigVersions::Entry* target = to ? generations_.find(*to) : generations_.previous();
    if (!target && to) return {ConfigChange::Result::missing, now, {}, "that generation is not kept"};
    if (!target) return {ConfigChange::Result::conflict, now, {}, "no older generation is kept"};
    if (target->number() == now) return {ConfigChange::Result::unchanged, now, {}, {}};
    const std::uint64_t content = target->content_version;
    try {
        commit(prepare_again(*target), ConfigVersions::Source::rollback, content, {});
    } catch (const ConfigError& error) {
        ++counts_.refused;
        return refusal(now, error.errors);
    }
    ++counts_.rolled_back;
    return {ConfigChange::Result::applied, sidecar_.snapshot()->version, {}, {}};
}

void Node::reload() {
    if (reload_posted_) return;
    reload_posted_ = true;
    asio::post(io_, [this] {
        reload_posted_ = false;
        take_file(kReads);
    });
}

// One that can't be read may be being written: it is read again for a while. Whoever writes it anew says so
// himself.
void Node::take_file(int reads) {
    reread_timer_.cancel();
    ConfigChange done;
    try {
        done = change(reload_document(), ConfigVersions::Source::file, false, {});
    } catch (const ConfigError& error) {
        done.complaints = error.errors;
        if (reads > 1) {
            reread_timer_.expires_after(kReread);
            reread_timer_.async_wait([this, reads](error_code ec) {
                if (!ec) take_file(reads - 1);
            });
        }
        if (reads < kReads) return;
        ++counts_.refused;
    }
    if (done.result != ConfigChange::Result::refused) return;
    for (const ValidationError& c : done.complaints)
        log_line("the old configuration stays in force: " + c.field + " " + c.what);
}

// A request that the new configuration turns away though the one before would have taken it: to the client
// that is one not served. What neither takes says nothing of either.
void Node::misfit(const ConfigSnapshotPtr& snapshot, const HttpRequest& head) {
    const auto& trial = generations_.canary();
    if (!trial || snapshot->version != generations_.current().number()) return;
    const ConfigVersions::Entry* before = generations_.find(trial->fallback);
    if (before && !form_fault(head, before->snapshot->config))
        generations_.record_answer(snapshot->version, false, clock_.now());
}

void Node::watch_trial() {
    trial_timer_.cancel();
    if (!generations_.canary() || stopped_) return;
    const Millis look = std::clamp(generations_.canary()->rule.duration / 50, kShortLook, kLongLook);
    trial_timer_.expires_at(clock_.point(clock_.now() + look));
    trial_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        const auto back = generations_.due(clock_.now());
        if (!generations_.canary()) keep_config();  // it is over, and well
        if (back) {
            log_line("generation " + std::to_string(generations_.current().number()) +
                     " is taken back: " + back->why);
            try {
                const std::uint64_t content = back->to->content_version;
                commit(prepare_again(*back->to), ConfigVersions::Source::canary, content, {});
                ++counts_.taken_back;
                return;
            } catch (const std::exception& error) {  // tried again at the next look
                log_line(std::string("it can't be taken back yet: ") + error.what());
            }
        }
        watch_trial();
    });
}

void Node::wind_down() {
    const bool all_taken = listener_.stop_accepting();
    listener_.close_idle();
    if (clock_.now() >= tell_off_at_) listener_.reject_incomplete();
    // Requests that began under an older configuration may have longer deadlines than the one in force at the
    // signal; each of them ends at its own.
    if (sidecar_.pending_requests() == 0 && ((all_taken && !listener_.busy()) || clock_.now() >= stop_at_)) {
        keep_world();
        if (keeper_) keeper_->confirm_stable_uptime();
        return stopped_();
    }
    timer_.expires_after(kLook);
    timer_.async_wait([this](error_code ec) {
        if (!ec) wind_down();
    });
}

}  // namespace ochregrade::sidecar
