#include "control/operator_query.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ochregrade::sidecar {

namespace {

constexpr double kMaxAmount = 1e9;

OperatorError parameter_error(const std::string& name, const std::string& what) {
    return {http::status::bad_request, "parameter " + name + " " + what};
}

}  // namespace

OperatorQuery::OperatorQuery(std::string_view text, std::initializer_list<std::string_view> known) {
    while (!text.empty()) {
        const auto part = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const auto equals = part.find('=');
        const std::string name(part.substr(0, equals));
        const bool is_known = std::find(known.begin(), known.end(), name) != known.end();
        if (!is_known || equals == std::string_view::npos)
            throw parameter_error(name, "is not known or has no value");
        if (!values_.emplace(name, part.substr(equals + 1)).second)
            throw parameter_error(name, "comes twice");
    }
}

bool OperatorQuery::flag(const std::string& name) const {
    if (!has(name)) return false;
    const std::string& value = values_.at(name);
    if (value == "1" || value == "true") return true;
    if (value == "0" || value == "false") return false;
    throw parameter_error(name, "is neither true nor false");
}

std::optional<std::uint64_t> OperatorQuery::unsigned_integer(const std::string& name) const {
    return number<std::uint64_t>(name, "is not a whole number");
}

std::optional<double> OperatorQuery::non_negative(const std::string& name) const {
    constexpr const char* kError = "is not an amount";
    const auto value = number<double>(name, kError);
    if (value && (!std::isfinite(*value) || *value < 0 || *value > kMaxAmount))
        throw parameter_error(name, kError);
    return value;
}

template <class T>
std::optional<T> OperatorQuery::number(const std::string& name, const char* error) const {
    if (!has(name)) return {};
    const std::string& text = values_.at(name);
    const char* end = text.data() + text.size();
    T value{};
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) throw parameter_error(name, error);
    return value;
}

}  // namespace ochregrade::sidecar
