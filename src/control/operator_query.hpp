// Query parameters of a call to the operators' endpoint, and the error that such a call ends with.
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

/// A call that is answered with `status` and the text of the error.
struct OperatorError : std::runtime_error {
    OperatorError(http::status status_code, const std::string& what)
        : std::runtime_error(what), status(status_code) {}
    http::status status;
};

/// The part of a target behind the question mark. Parameters that are not in `known` are an error: a mistyped
/// dry_run must not become a change. All members throw OperatorError (400).
class OperatorQuery {
public:
    OperatorQuery(std::string_view text, std::initializer_list<std::string_view> known);

    bool has(const std::string& name) const { return values_.count(name) > 0; }
    /// False where it is absent.
    bool flag(const std::string& name) const;
    std::optional<std::uint64_t> unsigned_integer(const std::string& name) const;
    /// Finite, from 0 to 1e9.
    std::optional<double> non_negative(const std::string& name) const;

private:
    template <class T>
    std::optional<T> number(const std::string& name, const char* error) const;

    std::map<std::string, std::string> values_;
};

}  // namespace ochregrade::sidecar
