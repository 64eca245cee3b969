#include "recovery/state_store.hpp"

#include <cerrno>

#include "common/log.hpp"
#include "recovery/state_records.hpp"

namespace ochregrade::sidecar {

namespace {

// Kinds of records; a kind is part of the file name.
constexpr const char* kConfigKind = "config";
constexpr const char* kEndpointsKind = "world";
constexpr const char* kStartsKind = "starts";

// Returns the snapshots as they are `elapsed` ms later, without those that then have neither an ejection nor
// a latency ratio. An ejection that has expired has a remaining time of 0 or less.
std::vector<NamedEndpointSnapshot> age_snapshots(std::vector<NamedEndpointSnapshot> snapshots,
                                                 Millis elapsed) {
    for (NamedEndpointSnapshot& snapshot : snapshots) {
        snapshot.ejected_for -= elapsed;
        if (elapsed > kMaxLatencyRatioAge) snapshot.latency_ratio = 0;
    }
    std::erase_if(snapshots, [](const NamedEndpointSnapshot& snapshot) {
        return !(snapshot.ejected_for > 0) && !(snapshot.latency_ratio > 0);
    });
    return snapshots;
}

}  // namespace

std::unique_ptr<StateStore> StateStore::open(const std::string& path) {
    storage::OpenedDirectory opened = storage::open_directory(path);
    const bool is_open = opened.directory != nullptr;
    auto store = std::make_unique<StateStore>(std::move(opened.directory), system_timestamps);
    if (!is_open) {
        store->unusable_reason_ = opened.error == std::errc::operation_would_block ? "another process has it"
                                                                                   : opened.error.message();
        log_line("state: the folder can't be opened, and nothing is stored: " + store->unusable_reason_);
    }
    return store;
}

StateStore::StateStore(std::shared_ptr<storage::Directory> folder, Now now)
    : folder_(std::move(folder)), now_(std::move(now)) {
    if (folder_)
        store_ = std::make_shared<storage::RecordStore>(
            *folder_, [](const std::string& line) { log_line("state: " + line); });
}

template <class Record>
std::optional<Record> StateStore::load(const char* kind, Record (*parse)(const std::string&)) {
    const auto check = [parse](const storage::Record& record) -> std::string {
        try {
            parse(record.payload);
        } catch (const std::exception& error) {
            return error.what();
        }
        return {};
    };
    const auto record = store_->load(kind, check);
    if (!record) return {};
    return parse(record->payload);
}

RecoveredState StateStore::recover() {
    RecoveredState state;
    if (!store_) return state;
    const Timestamps now = now_();
    if (!count_start(state)) return state;
    recover_config(state);
    recover_endpoints(state, now);
    writer_ = std::make_unique<storage::BackgroundWriter>(folder_, store_);
    return state;
}

// Counts this start, and quarantines the state if the previous kMaxShortRuns runs ended early. Returns false
// if the count can't be written. The new count is on the disk before any of the state is used, because the
// state may make this run crash.
bool StateStore::count_start(RecoveredState& state) {
    const int starts = load<int>(kStartsKind, parse_starts_record).value_or(0);
    if (const std::error_code error = store_->save(kStartsKind, starts_record_payload(starts + 1))) {
        unusable_reason_ = std::string("it can't be written and so is not used: ") + error.message();
        log_line("state: " + unusable_reason_);
        return false;
    }
    state.crash_loop = starts >= kMaxShortRuns;
    if (state.crash_loop) {
        log_line("state: the stored state is not used: the last " + std::to_string(starts) +
                 " runs ended early");
        for (const char* kind : {kConfigKind, kEndpointsKind})
            store_->quarantine_all(kind, "runs that used it ended early");
    }
    return true;
}

void StateStore::recover_config(RecoveredState& state) {
    auto record = load<ConfigRecord>(kConfigKind, parse_config_record);
    if (!record) return;
    state.last_known_good = std::move(record->last_known_good);
    state.next_version = record->next_version;
    state.file = std::move(record->file_document);
    state.canary_interrupted = record->canary_under_way;
    state.versions = std::move(record->versions);
}

void StateStore::recover_endpoints(RecoveredState& state, const Timestamps& now) {
    auto record = load<EndpointsRecord>(kEndpointsKind, parse_endpoints_record);
    if (!record) return;
    const auto elapsed = age(record->written_at, now);
    if (elapsed.value_or(kMaxEndpointsAge) > kMaxEndpointsAge) {
        log_line("state: the stored endpoint list is not used: it is too old");
        return;
    }
    state.endpoints = std::move(record->list);
    state.discovery = std::move(record->discovery);
    // If the record's age is unknown, all ejections may have expired, so no snapshot is used.
    if (elapsed) state.snapshots = age_snapshots(std::move(record->snapshots), *elapsed);
}

void StateStore::save_config(const ConfigVersions& versions, const std::string& file) {
    if (!writer_) return;
    const auto& canary = versions.canary();
    const ConfigVersions::Entry* good = canary ? versions.find(canary->fallback) : &versions.current();
    if (!good) return;
    std::string payload = config_record_payload(versions, *good, file);
    if (payload == last_config_) return;
    last_config_ = payload;
    writer_->submit(kConfigKind, std::move(payload));
}

void StateStore::save_endpoints(const EndpointList& list, const std::string& discovery,
                                const std::vector<NamedEndpointSnapshot>& snapshots) {
    if (!writer_) return;
    EndpointsRecord record{list, discovery, snapshots, {}};
    std::string identity = endpoints_record_identity(record);
    if (identity == last_endpoints_) return;
    last_endpoints_ = std::move(identity);
    record.written_at = now_();
    writer_->submit(kEndpointsKind, endpoints_record_payload(record));
}

void StateStore::confirm_stable_uptime() {
    if (writer_) writer_->submit(kStartsKind, starts_record_payload(0));
}

}  // namespace ochregrade::sidecar
