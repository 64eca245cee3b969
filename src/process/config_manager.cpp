#include "process/config_manager.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/log.hpp"
#include "process/resource_limits.hpp"
#include "proxy/request_validation.hpp"

namespace ochregrade::sidecar {

namespace {

using Result = ConfigChange::Result;
using Source = ConfigVersions::Source;

// Throws ConfigError if the candidate's epoch is lower than the running one, or the same with other settings.
// An epoch must identify the same settings in the whole fleet, and never decreases.
void check_epoch(const Config& config, const ConfigSnapshot& running) {
    if (config.epoch < running.epoch)
        throw ConfigError("ochregrade.epoch", "goes back from " + std::to_string(running.epoch) +
                                                  ": what was before needs a newer epoch too");
    const bool same_epoch = config.epoch > 0 && config.epoch == running.epoch;
    if (same_epoch && config.settings_hash != running.config.settings_hash)
        throw ConfigError("ochregrade.epoch", "is in force already, with other settings");
}

}  // namespace

std::shared_ptr<ConfigSnapshot> make_snapshot(Config config, std::uint64_t version, Zones& zones) {
    auto snapshot = std::make_shared<ConfigSnapshot>();
    snapshot->version = version;
    snapshot->epoch = config.epoch;
    Settings settings = config.settings;
    settings.evidence_shared = config.joins_replication();
    if (config.local_zone) settings.local_zone = zones.id_of(*config.local_zone);
    snapshot->settings = std::make_shared<const Settings>(std::move(settings));
    snapshot->config = std::move(config);
    return snapshot;
}

ConfigManager::ConfigManager(Parts parts, std::string file_document)
    : parts_(parts),
      file_document_(std::move(file_document)),
      canary_watch_(
          parts.io, parts.clock, parts.versions,
          {[this] { persist_config(); },
           [this](const ConfigVersions::Rollback& rollback) { return roll_back_canary(rollback); }}) {}

ConfigChange ConfigManager::ended(Result result, std::string note) const {
    return {result, parts_.driver.snapshot()->version, {}, std::move(note)};
}

ConfigChange ConfigManager::reject(std::vector<ValidationError> errors, bool dry_run) {
    if (!dry_run) count_rejected();
    return {Result::rejected, parts_.driver.snapshot()->version, std::move(errors), {}};
}

ConfigChange ConfigManager::change(const nlohmann::json& candidate, Source source, bool strict,
                                   const ConfigChangeOptions& options) {
    const Millis start = parts_.clock.now();
    const auto& expected = options.expected_version;
    if (expected && *expected != parts_.driver.snapshot()->version)
        return ended(Result::conflict, "another generation is in force");
    ConfigChange result;
    try {
        result = try_change(candidate, source, strict, options);
    } catch (const ConfigError& error) {
        return reject(error.errors, options.dry_run);
    } catch (const std::exception& error) {  // most likely std::bad_alloc
        return reject({{"the configuration", error.what()}}, options.dry_run);
    }
    if (result.result == Result::applied) {
        ++counts_.applied;
        counts_.longest_change = std::max(counts_.longest_change, parts_.clock.now() - start);
    }
    return result;
}

ConfigChange ConfigManager::try_change(const nlohmann::json& candidate, Source source, bool strict,
                                       const ConfigChangeOptions& options) {
    const ConfigSnapshotPtr running = parts_.driver.snapshot();
    Config config = read_candidate(candidate, running->config, strict);
    const CanaryRule rule = options.canary.value_or(config.canary);
    if (!strict) log_unknown_fields(candidate);
    if (config.document == running->config.document) return keep_unchanged(config, source, options.dry_run);
    check_epoch(config, *running);
    if (!config.in_rollout()) return stage(config, options.dry_run);
    if (options.dry_run) {
        check_descriptors(config, running->config);
        return ended(Result::valid);
    }
    Prepared prepared = prepare(std::move(config));
    if (source == Source::file) file_document_ = prepared.snapshot->config.document;
    commit(std::move(prepared), source, 0, rule);
    return ended(Result::applied);
}

ConfigChange ConfigManager::keep_unchanged(const Config& config, Source source, bool dry_run) {
    if (!dry_run && source == Source::file) file_document_ = config.document;
    persist_config();
    if (!dry_run) ++counts_.unchanged;
    return ended(Result::unchanged);
}

ConfigChange ConfigManager::stage(const Config& config, bool dry_run) {
    if (!dry_run && parts_.replication.settle_epoch(config.epoch))
        log_line("epoch " + std::to_string(config.epoch) +
                 " is not applied: its rollout share excludes this sidecar");
    return ended(Result::staged);
}

ConfigChange ConfigManager::roll_back(std::optional<std::uint64_t> version,
                                      std::optional<std::uint64_t> expected) {
    const std::uint64_t running = parts_.driver.snapshot()->version;
    if (expected && *expected != running) return ended(Result::conflict, "another generation is in force");
    const ConfigVersions::Entry* target =
        version ? parts_.versions.find(*version) : parts_.versions.previous();
    if (!target && version) return ended(Result::missing, "that generation is not kept");
    if (!target) return ended(Result::conflict, "no older generation is kept");
    if (target->number() == running) return ended(Result::unchanged);
    const std::uint64_t content_version = target->content_version;
    try {
        commit(prepare_version(*target), Source::rollback, content_version, {});
    } catch (const ConfigError& error) {
        return reject(error.errors, false);
    }
    ++counts_.rolled_back;
    return ended(Result::applied);
}

bool ConfigManager::roll_back_canary(const ConfigVersions::Rollback& rollback) {
    const std::string version = std::to_string(parts_.versions.current().number());
    log_line("generation " + version + " is rolled back: " + rollback.reason);
    try {
        const std::uint64_t content_version = rollback.target->content_version;
        commit(prepare_version(*rollback.target), Source::canary, content_version, {});
    } catch (const std::exception& error) {
        log_line(std::string("the rollback failed and will be retried: ") + error.what());
        return false;
    }
    ++counts_.canaries_rolled_back;
    return true;
}

ConfigManager::Prepared ConfigManager::prepare(Config config) {
    Prepared prepared;
    check_descriptors(config, parts_.driver.snapshot()->config);
    prepared.replaces_peers = parts_.peers.needs_replacement(config);
    if (prepared.replaces_peers) {
        try {
            prepared.peers = parts_.peers.open(config);
        } catch (const boost::system::system_error& error) {
            throw ConfigError("peer_listen", "can't be listened on: " + error.code().message());
        }
    }
    prepared.snapshot = make_snapshot(std::move(config), parts_.versions.next_version(), parts_.zones);
    return prepared;
}

// Prepares the rollback to a retained version. A version from an earlier run may have other values in its
// fixed fields, so the running values replace them.
ConfigManager::Prepared ConfigManager::prepare_version(const ConfigVersions::Entry& entry) {
    const Config& running = parts_.driver.snapshot()->config;
    nlohmann::json document = nlohmann::json::parse(entry.snapshot->config.document);
    const nlohmann::json running_document = nlohmann::json::parse(running.document);
    for (const char* field : {"name", "listen"}) document[field] = running_document.at(field);
    if (document.contains(kOwnSection))
        for (const char* field : {"admin", "state"}) document[kOwnSection].erase(field);
    keep_fixed(document, running_document);
    return prepare(read_candidate(document, running, false));
}

// The commit neither waits nor fails, and runs in one turn of the event loop: no other handler sees a partly
// applied configuration.
void ConfigManager::commit(Prepared prepared, Source source, std::uint64_t content_version,
                           const CanaryRule& rule) {
    const Millis start = parts_.clock.now();
    const ConfigSnapshotPtr before = parts_.driver.snapshot();  // kept alive until the commit has ended
    const bool is_rollback = source == Source::rollback || source == Source::canary;
    if (is_rollback && before->epoch > 0) prepared.snapshot->epoch = before->epoch + 1;
    apply(prepared);
    parts_.versions.commit(prepared.snapshot, source, content_version, rule, start);
    log_line("generation " + std::to_string(prepared.snapshot->version) +
             " of the configuration is in force (" + to_string(source) + ")");
    persist_config();
    parts_.replication.publish_versions();
    canary_watch_.watch();
    counts_.last_commit = parts_.clock.now() - start;
    counts_.longest_commit = std::max(counts_.longest_commit, counts_.last_commit);
}

void ConfigManager::apply(Prepared& prepared) {
    const Config& config = prepared.snapshot->config;
    parts_.discovery.set_polled(config.settings.polled_discovery);
    parts_.driver.apply(prepared.snapshot, upstream_limits(config));
    if (prepared.replaces_peers) {
        parts_.peers.replace(std::move(prepared.peers));
        parts_.driver.connect_to(parts_.discovery, parts_.peers.transport());
    } else {
        parts_.peers.set_peers(config);
    }
    parts_.replication.configure(config);
    parts_.listener.set_limits(listener_limits(config));
    parts_.discovery.set_address(config.discovery_address);
    if (!config.settings.polled_discovery) parts_.discovery.watch(true);
}

void ConfigManager::persist_config() { parts_.persistence.persist_config(parts_.versions, file_document_); }

// A request that is invalid under the canary's version but valid under its fallback version counts as not
// served. A request that is invalid under both does not count, because the canary is not the cause.
void ConfigManager::invalid_request(const ConfigSnapshotPtr& snapshot, const HttpRequest& head) {
    const auto& canary = parts_.versions.canary();
    if (!canary || snapshot->version != parts_.versions.current().number()) return;
    const ConfigVersions::Entry* before = parts_.versions.find(canary->fallback);
    if (before && !request_error(head, before->snapshot->config))
        parts_.versions.record_answer(snapshot->version, false, parts_.clock.now());
}

}  // namespace ochregrade::sidecar
