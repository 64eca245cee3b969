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

Upstream::Limits upstream_limits(const Config& config) {
    return {config.connect_timeout, config.idle_close, connections(config) - from_clients(config), kSettle};
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
void check_epoch(const Config& config, const Snapshot& running) {
    if (config.epoch < running.epoch)
        throw ConfigError("ochregrade.epoch", "goes back from " + std::to_string(running.epoch) +
                                                  ": what was before needs a newer epoch too");
    if (config.epoch > 0 && config.epoch == running.epoch &&
        config.settings_hash != running.config.settings_hash)
        throw ConfigError("ochregrade.epoch", "is in force already, with other settings");
}

Change refusal(std::uint64_t generation, std::vector<Complaint> complaints) {
    return {Change::Result::refused, generation, std::move(complaints), {}};
}

}  // namespace

const char* word(Change::Result result) {
    switch (result) {
        case Change::Result::applied:
            return "applied";
        case Change::Result::unchanged:
            return "unchanged";
        case Change::Result::staged:
            return "staged";
        case Change::Result::sound:
            return "sound";
        case Change::Result::refused:
            return "refused";
        case Change::Result::conflict:
            return "conflict";
        case Change::Result::missing:
            break;
    }
    return "missing";
}

// What a commit needs, with all that could fail behind it.
struct Node::Prepared {
    std::shared_ptr<Snapshot> snapshot;
    std::shared_ptr<Peers> peers;  // the ones in use, others, or none
    bool other_peers = false;
};

namespace {
Start plain(Config config) {
    Start s;
    s.file = config.document;
    s.config = std::move(config);
    return s;
}
std::uint64_t first_number(Generations& generations, const Recovered& recovered) {
    generations.go_on_from(recovered.next);
    return generations.next();
}
}  // namespace

Node::Node(asio::io_context& io, Config config) : Node(io, plain(std::move(config))) {}

Node::Node(asio::io_context& io, Start start)
    : io_(io),
      keeper_(std::move(start.keeper)),
      file_(start.file),
      sidecar_(io, clock_, zones_, snapshot_of(start.config, first_number(generations_, start.recovered)),
               upstream_limits(start.config)),
      listener_(io, clock_, sidecar_, listener_limits(start.config)),
      peers_(listen_patiently("peer_listen", start.config.peer_listen.value_or(udp::endpoint()),
                              [&] { return open_peers(start.config); })),
      // A stored list is a start and no more: discovery may count anew by now, so the whole list comes first.
      discovery_(
          io, start.config.discovery,
          start.config.known && !start.stored_list ? std::optional(start.config.known->seq) : std::nullopt,
          start.config.settings.list_on_request, ~start.config.seed,
          {[this](const HostList& list) { listed(list); }, [this] { sidecar_.list_failed(); }}),
      timer_(io),
      trial_timer_(io),
      keep_timer_(io),
      reread_timer_(io) {
    const Config& config = sidecar_.snapshot()->config;
    generations_.restore(std::move(start.recovered.kept));
    generations_.committed(sidecar_.snapshot(), start.source, generations_.first_to_say(config.document), {},
                           clock_.now());
    if (peers_) {
        peers_->use(config.peers, config.peers_all);
        peers_->listen();
    }
    sidecar_.connect_to(discovery_, peers_.get());
    sidecar_.on_answer = [this](std::uint64_t generation, bool served) {
        generations_.answered(generation, served, clock_.now());
    };
    listener_.on_misfit = [this](const SnapshotPtr& snapshot, const HttpRequest& head) {
        misfit(snapshot, head);
    };
    sidecar_.on_share = [this](replication::ServerKey server, const replication::Evidence& evidence) {
        if (shared_) shared_->say(server, evidence);
    };
    listener_.listen(config.listen);
    if (config.admin)
        admin_ = listen_patiently("ochregrade.admin.listen", *config.admin,
                                  [&] { return std::make_unique<Admin>(io, *this, *config.admin); });
    sidecar_.start();
    if (!start.recovered.learnt.empty()) sidecar_.recall(start.recovered.learnt);
    if (!config.settings.list_on_request) discovery_.watch(true);
    listener_.open_for_use();
    lived_after_ = config.lived;
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
        listener_.close_quiet();
        timer_.expires_after(kAskAgain);
        timer_.async_wait([this](error_code stop) {
            if (!stop) wind_down();
        });
    });
}

// ---- Changes of the configuration -------------------------------------------------------------------------

std::shared_ptr<Snapshot> Node::snapshot_of(Config config, std::uint64_t generation) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->generation = generation;
    snapshot->epoch = config.epoch;
    Settings settings = config.settings;
    settings.share = config.shares();
    if (config.my_zone) settings.my_zone = zones_.number(*config.my_zone);
    snapshot->settings = std::make_shared<const Settings>(std::move(settings));
    snapshot->config = std::move(config);
    return snapshot;
}

std::shared_ptr<Peers> Node::open_peers(const Config& config) {
    if (!config.peer_listen || !config.settings.may_tell) return nullptr;
    return std::make_shared<Peers>(io_, *config.peer_listen,
                                   [this](std::uint32_t from, std::vector<std::uint8_t> bytes) {
                                       if (!replication::is_shared_state(bytes))
                                           return sidecar_.peer_said(from, std::move(bytes));
                                       if (shared_) shared_->heard(from, bytes);
                                   });
}

// Its place in the fleet may be another from here on; what it said so far is then forgotten by its life's
// end.
void Node::share(const Config& config) {
    if (shared_ && shared_->serves(config)) return;
    if (shared_) shared_->leave();
    shared_.reset();
    if (!config.shares() || !peers_) return;
    shared_ = std::make_unique<Shared>(
        io_, clock_, config,
        Shared::Handlers{
            [this](std::optional<std::uint32_t> to, const std::vector<std::uint8_t>& bytes) {
                if (peers_) peers_->tell(to, bytes);
            },
            [this] { sidecar_.fleet_said(shared_->replica().evidence()); },
            [this](const replication::Place& claimed) { discovery_.ask_now(claimed.major, claimed.minor); },
            [this](const replication::Place&) { reload(); }});
    shared_->start();
    say_versions();
}

// What it acts on, to the others and to the log: the log's times are what the lab checks agreement by.
void Node::say_versions() {
    if (!shared_) return;
    const Snapshot& s = *sidecar_.snapshot();
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
    shared_->acts_on(now, std::max(settled_, s.epoch));
}

void Node::listed(const HostList& list) {
    sidecar_.told(list);
    if (shared_)
        for (const Host& host : list.hosts)
            if (host.phase != Phase::on) shared_->closed(sidecar_.key_of(host));
    say_versions();
}

Node::Prepared Node::prepare(Config config) {
    Prepared p;
    const Config& running = sidecar_.snapshot()->config;
    check_descriptors(config, running);
    const bool wanted = config.peer_listen && config.settings.may_tell;
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
    if (p.peers && p.other_peers) p.peers->use(config.peers, config.peers_all);
    p.snapshot = snapshot_of(std::move(config), generations_.next());
    return p;
}

// What an earlier life kept was not read with this one's fixed fields.
Node::Prepared Node::prepare_again(const Generations::Entry& entry) {
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
void Node::commit(Prepared p, Generations::Source source, std::uint64_t content, const TrialRule& rule) {
    const Millis start = clock_.now();
    const Config& config = p.snapshot->config;
    const SnapshotPtr before = sidecar_.snapshot();  // to the end, whoever else lets go of it
    const bool back = source == Generations::Source::rollback || source == Generations::Source::trial;
    if (back && before->epoch > 0) p.snapshot->epoch = before->epoch + 1;
    discovery_.set_on_request(config.settings.list_on_request);
    sidecar_.use(p.snapshot, upstream_limits(config));
    if (p.other_peers) {
        if (peers_) peers_->stop();
        peers_ = std::move(p.peers);
        if (peers_) peers_->listen();
        sidecar_.connect_to(discovery_, peers_.get());
    } else if (peers_) {
        peers_->use(config.peers, config.peers_all);
    }
    share(config);
    listener_.set_limits(listener_limits(config));
    discovery_.move_to(config.discovery);
    if (!config.settings.list_on_request) discovery_.watch(true);
    generations_.committed(p.snapshot, source, content, rule, start);
    log_line("generation " + std::to_string(p.snapshot->generation) + " of the configuration is in force (" +
             word(source) + ")");
    keep_config();
    say_versions();
    watch_trial();
    counts_.last_pause = clock_.now() - start;
    counts_.longest_pause = std::max(counts_.longest_pause, counts_.last_pause);
}

void Node::keep_config() {
    if (keeper_) keeper_->keep_config(generations_, file_);
}

void Node::keep_world() {
    if (!keeper_ || discovery_.seq() == 0) return;  // what discovery has not told is no news
    HostList list = sidecar_.list();
    list.seq = discovery_.seq();
    std::ostringstream at;
    at << sidecar_.snapshot()->config.discovery;
    keeper_->keep_world(list, at.str(), sidecar_.learnt());
}

void Node::keep_on() {
    const Millis wait = lived_ ? kKeepEvery : std::min(kKeepEvery, lived_after_);
    keep_timer_.expires_at(clock_.point(clock_.now() + wait));
    keep_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        if (!lived_ && clock_.now() >= started_ + lived_after_) {
            lived_ = true;
            keeper_->lived();
        }
        keep_world();
        keep_on();
    });
}

Change Node::change(const nlohmann::json& candidate, Generations::Source source, bool strict,
                    const ChangeOptions& options) {
    const Millis start = clock_.now();
    const SnapshotPtr running = sidecar_.snapshot();
    if (options.expected && *options.expected != running->generation)
        return {Change::Result::conflict, running->generation, {}, "another generation is in force"};
    try {
        Config config = read_candidate(candidate, running->config, strict);
        const TrialRule rule = options.trial.value_or(config.trial);
        if (!strict) log_unknown_fields(candidate);
        if (config.document == running->config.document) {
            if (!options.dry_run && source == Generations::Source::file) file_ = config.document;
            keep_config();
            counts_.unchanged += options.dry_run ? 0 : 1;
            return {Change::Result::unchanged, running->generation, {}, {}};
        }
        check_epoch(config, *running);
        if (!config.in_rollout()) {
            if (!options.dry_run) {
                if (settled_ < config.epoch)
                    log_line("epoch " + std::to_string(config.epoch) + " is for another part of the fleet");
                settled_ = std::max(settled_, config.epoch);
                say_versions();
            }
            return {Change::Result::staged, running->generation, {}, {}};
        }
        if (options.dry_run) check_descriptors(config, running->config);
        if (options.dry_run) return {Change::Result::sound, running->generation, {}, {}};
        Prepared prepared = prepare(std::move(config));
        if (source == Generations::Source::file) file_ = prepared.snapshot->config.document;
        commit(std::move(prepared), source, 0, rule);
    } catch (const ConfigError& error) {
        counts_.refused += options.dry_run ? 0 : 1;
        return refusal(running->generation, error.complaints);
    } catch (const std::exception& error) {  // memory above all
        counts_.refused += options.dry_run ? 0 : 1;
        return refusal(running->generation, {{"the configuration", error.what()}});
    }
    ++counts_.applied;
    counts_.last_change = clock_.now() - start;
    counts_.longest_change = std::max(counts_.longest_change, counts_.last_change);
    return {Change::Result::applied, sidecar_.snapshot()->generation, {}, {}};
}

Change Node::roll_back(std::optional<std::uint64_t> to, std::optional<std::uint64_t> expected) {
    const std::uint64_t now = sidecar_.snapshot()->generation;
    if (expected && *expected != now)
        return {Change::Result::conflict, now, {}, "another generation is in force"};
    const Generations::Entry* target = to ? generations_.find(*to) : generations_.previous();
    if (!target && to) return {Change::Result::missing, now, {}, "that generation is not kept"};
    if (!target) return {Change::Result::conflict, now, {}, "no older generation is kept"};
    if (target->number() == now) return {Change::Result::unchanged, now, {}, {}};
    const std::uint64_t content = target->content;
    try {
        commit(prepare_again(*target), Generations::Source::rollback, content, {});
    } catch (const ConfigError& error) {
        ++counts_.refused;
        return refusal(now, error.complaints);
    }
    ++counts_.rolled_back;
    return {Change::Result::applied, sidecar_.snapshot()->generation, {}, {}};
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
    Change done;
    try {
        done = change(reload_document(), Generations::Source::file, false, {});
    } catch (const ConfigError& error) {
        done.complaints = error.complaints;
        if (reads > 1) {
            reread_timer_.expires_after(kReread);
            reread_timer_.async_wait([this, reads](error_code ec) {
                if (!ec) take_file(reads - 1);
            });
        }
        if (reads < kReads) return;
        ++counts_.refused;
    }
    if (done.result != Change::Result::refused) return;
    for (const Complaint& c : done.complaints)
        log_line("the old configuration stays in force: " + c.field + " " + c.what);
}

// A request that the new configuration turns away though the one before would have taken it: to the client
// that is one not served. What neither takes says nothing of either.
void Node::misfit(const SnapshotPtr& snapshot, const HttpRequest& head) {
    const auto& trial = generations_.trial();
    if (!trial || snapshot->generation != generations_.current().number()) return;
    const Generations::Entry* before = generations_.find(trial->fallback);
    if (before && !form_fault(head, before->snapshot->config))
        generations_.answered(snapshot->generation, false, clock_.now());
}

void Node::watch_trial() {
    trial_timer_.cancel();
    if (!generations_.trial() || stopped_) return;
    const Millis look = std::clamp(generations_.trial()->rule.bake / 50, kShortLook, kLongLook);
    trial_timer_.expires_at(clock_.point(clock_.now() + look));
    trial_timer_.async_wait([this](error_code ec) {
        if (ec) return;
        const auto back = generations_.due(clock_.now());
        if (!generations_.trial()) keep_config();  // it is over, and well
        if (back) {
            log_line("generation " + std::to_string(generations_.current().number()) +
                     " is taken back: " + back->why);
            try {
                const std::uint64_t content = back->to->content;
                commit(prepare_again(*back->to), Generations::Source::trial, content, {});
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
    listener_.close_quiet();
    if (clock_.now() >= tell_off_at_) listener_.tell_off();
    // Requests that began under an older configuration may have longer deadlines than the one in force at the
    // signal; each of them ends at its own.
    if (sidecar_.unanswered() == 0 && ((all_taken && !listener_.busy()) || clock_.now() >= stop_at_)) {
        keep_world();
        if (keeper_) keeper_->lived();
        return stopped_();
    }
    timer_.expires_after(kLook);
    timer_.async_wait([this](error_code ec) {
        if (!ec) wind_down();
    });
}

}  // namespace ochregrade::sidecar
