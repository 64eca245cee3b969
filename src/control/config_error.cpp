#include "control/config_error.hpp"

#include <algorithm>

namespace ochregrade::sidecar {

namespace {

std::string join_errors(const std::vector<ValidationError>& errors) {
    std::string text = "configuration: ";
    for (std::size_t i = 0; i < errors.size(); ++i)
        text += (i > 0 ? "; " : "") + errors[i].field + " " + errors[i].what;
    return text;
}

}  // namespace

ConfigError::ConfigError(std::vector<ValidationError> all)
    : std::runtime_error(join_errors(all)), errors(std::move(all)) {}

ConfigError::ConfigError(const std::string& field, const std::string& what)
    : ConfigError(std::vector<ValidationError>{{field, what}}) {}

void ValidationErrors::add(const std::string& field, const std::string& what) {
    if (errors_.size() < kMaxErrors) add_unlimited(field, what);
}

void ValidationErrors::add_unlimited(const std::string& field, const std::string& what) {
    if (!has_field(field)) errors_.push_back({field, what});
}

void ValidationErrors::throw_if_any() const {
    if (!errors_.empty()) throw ConfigError(errors_);
}

bool ValidationErrors::has_field(const std::string& field) const {
    return std::any_of(errors_.begin(), errors_.end(),
                       [&](const ValidationError& error) { return error.field == field; });
}

}  // namespace ochregrade::sidecar
