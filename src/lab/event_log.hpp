/// @file
/// The lab's own log of events (lab.jsonl), one JSON object each, which the run's history takes in as well.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "lab/history.hpp"
#include "lab/timing.hpp"

namespace ochregrade::lab {

class EventLog {
public:
    /// `history` must outlive it.
    EventLog(std::shared_ptr<spdlog::logger> logger, History& history)
        : logger_(std::move(logger)), history_(history) {}

    /// `event` has its kind under the key `event`.
    void write(const nlohmann::json& event) {
        logger_->info(event.dump());
        history_.add_event(unix_ms_now(), event);
    }

private:
    std::shared_ptr<spdlog::logger> logger_;
    History& history_;
};

}  // namespace ochregrade::lab
