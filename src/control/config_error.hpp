// Validation errors of a configuration or an endpoint list. Each error names the invalid field.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace ochregrade::sidecar {

struct ValidationError {
    std::string field;  // path of the field: "settings.classes[0].name"
    std::string what;   // the error, as a phrase after the path: "is missing"
};

/// Thrown when a configuration or an endpoint list can't be read. Contains the errors that were collected.
struct ConfigError : std::runtime_error {
    explicit ConfigError(std::vector<ValidationError> all);
    ConfigError(const std::string& field, const std::string& what);
    std::vector<ValidationError> errors;
};

/// Collects errors while a document is read to its end. Only the first error of each field is retained.
class ValidationErrors {
public:
    /// add() ignores an error if this many are already collected, so that a document full of errors gets a
    /// short report.
    static constexpr std::size_t kMaxErrors = 50;

    void add(const std::string& field, const std::string& what);
    /// Like add(), but without the limit kMaxErrors.
    void add_unlimited(const std::string& field, const std::string& what);
    bool empty() const { return errors_.empty(); }
    /// Throws ConfigError with all collected errors if there are any.
    void throw_if_any() const;

private:
    bool has_field(const std::string& field) const;

    std::vector<ValidationError> errors_;
};

}  // namespace ochregrade::sidecar
