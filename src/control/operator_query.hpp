// Query parameters of a request to the operators' endpoint, and the error that such a request may end with.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "common/http.hpp"

namespace ochregrade::sidecar {

/// Thrown for a request of an operator whose response is `status` with the text of the error.
struct OperatorError : std::runtime_error {
    OperatorError(http::status status_code, const std::string& what)
        : std::runtime_error(what), status(status_code) {}
    http::status status;
};

/// The query string of a request target. A parameter that is not in `known` is an error, so that a request
/// with a mistyped dry_run does not change the configuration. The constructor and all functions that convert
/// a value throw OperatorError (400).
class OperatorQuery {
public:
    OperatorQuery(std::string_view text, std::initializer_list<std::string_view> known);

    bool has(const std::string& name) const { return values_.count(name) > 0; }
    /// False if the parameter is absent.
    bool flag(const std::string& name) const;
    /// None if the parameter is absent.
    std::optional<std::uint64_t> unsigned_integer(const std::string& name) const;
    /// A number from 0 to 1e9; none if the parameter is absent.
    std::optional<double> non_negative(const std::string& name) const;

private:
    template <class T>
    std::optional<T> number(const std::string& name, const char* error) const;

    std::map<std::string, std::string> values_;
};

}  // namespace ochregrade::sidecar
