#include "control/config_candidate.hpp"

#include <nlohmann/json.hpp>

#include "control/config.hpp"
#include "control/config_parser.hpp"
#include "control/config_schema.hpp"

namespace ochregrade::sidecar {

using nlohmann::json;

namespace {

template <class T>
void require_unchanged(ValidationErrors& errors, const char* field, const T& before, const T& after) {
    if (before != after) errors.add_unlimited(field, "can't change while the program runs");
}

}  // namespace

void keep_fixed(json& candidate, const json& running) {
    for (const char* field : {"name", "listen"})
        if (!candidate.contains(field) && running.contains(field)) candidate[field] = running.at(field);
    for (const char* field : {"admin", "state"}) {
        if (!running.contains(kOwnSection) || !running.at(kOwnSection).contains(field)) continue;
        json& own = candidate[kOwnSection];
        if (own.is_null()) own = json::object();
        if (own.is_object() && !own.contains(field)) own[field] = running.at(kOwnSection).at(field);
    }
}

Config read_candidate(json candidate, const Config& running, bool strict) {
    ValidationErrors errors;
    if (strict)
        for (const std::string& field : unknown_fields(candidate, ValidationErrors::kMaxErrors))
            errors.add(field, "is not known");
    if (candidate.is_object()) {
        keep_fixed(candidate, json::parse(running.document));
        candidate.erase("known");  // "known" and "seed" are start-only: a candidate's values are ignored
        candidate["seed"] = "0";
    }
    Config config = read_document(candidate, errors);
    require_unchanged(errors, "name", running.name, config.name);
    require_unchanged(errors, "listen", running.listen, config.listen);
    require_unchanged(errors, "ochregrade.admin.listen", running.operator_endpoint, config.operator_endpoint);
    require_unchanged(errors, "ochregrade.state.dir", running.state_directory, config.state_directory);
    errors.throw_if_any();
    config.seed = running.seed;
    return config;
}

}  // namespace ochregrade::sidecar
