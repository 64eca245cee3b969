// What is wrong with a configuration or an endpoint list: each error names the field that it is about.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace ochregrade::sidecar {

struct ValidationError {
    std::string field;  // its path, as "settings.classes[0].name"
    std::string what;   // continues the path: "is missing"
};

/// Thrown by everything that reads a configuration. Carries all errors found, not only the first.
struct ConfigError : std::runtime_error {
    explicit ConfigError(std::vector<ValidationError> all);
    ConfigError(const std::string& field, const std::string& what);
    std::vector<ValidationError> errors;
};

/// Collects errors while a document is read to its end, at most one for each field.
class ValidationErrors {
public:
    /// Beyond this many, add() drops errors: a document that is wrong throughout needs no more.
    static constexpr std::size_t kMaxErrors = 50;

    void add(const std::string& field, const std::string& what);
    /// The same without the limit.
    void add_unlimited(const std::string& field, const std::string& what);
    bool empty() const { return errors_.empty(); }
    /// Throws ConfigError with all of them if there are any.
    void throw_if_any() const;

private:
    bool has_field(const std::string& field) const;

    std::vector<ValidationError> errors_;
};

}  // namespace ochregrade::sidecar
