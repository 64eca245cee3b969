// Typed access to a JSON document. A JsonField refers to a value in the document and holds the path of the
// value for error messages. An error is added to ValidationErrors, and reading continues with a placeholder
// value; the reader of the document throws the collected errors at the end.
#pragma once

#include <boost/asio/ip/basic_endpoint.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/config_error.hpp"
#include "ochregrade/balancer.hpp"

namespace ochregrade::sidecar {

/// An IP address and a port, parsed from a text like "127.0.0.1:9000" or "[::1]:9000". The brackets are not
/// required.
struct AddressAndPort {
    boost::asio::ip::address address;
    std::uint16_t port = 0;
};
/// Returns nothing if the part before the last colon is no IP address or the part after it is no number.
std::optional<AddressAndPort> parse_address_and_port(const std::string& text);

class JsonField {
public:
    /// `value` null: the field is missing. Reading the field then reports no error, because operator[] has
    /// already reported the missing field, or an object above it. `errors` must outlive the field.
    JsonField(const nlohmann::json* value, std::string path, ValidationErrors& errors)
        : value_(value), path_(std::move(path)), errors_(&errors) {}

    /// Adds an error about this field. Only the first error of a field is retained, because later ones
    /// usually follow from the first.
    void report(const std::string& what) const { errors_->add(path_, what); }
    /// Whether this object has a field `name` that is not null. Reports an error if the value is no object.
    bool has(const std::string& name) const { return child(name).value_ != nullptr; }
    /// Returns the field `name` and reports an error if it is missing or null.
    JsonField operator[](const std::string& name) const;
    std::vector<JsonField> items() const;

    std::string text() const;
    double number() const;  ///< finite
    double non_negative() const;
    Millis duration() const;
    double fraction() const;  ///< 0 to 1
    bool flag() const;
    template <class T = std::uint32_t>
    T unsigned_integer() const;
    template <class Protocol>
    boost::asio::ip::basic_endpoint<Protocol> endpoint() const;
    /// Returns the value of the entry of `names` that has this text. Reports an unknown text as an error and
    /// returns the value of the first entry.
    template <class T>
    T named(const std::vector<std::pair<const char*, T>>& names) const;

private:
    JsonField child(const std::string& name) const;
    // Whether the value has the type that `test` checks; reports an error if not. Returns false for a missing
    // value without another error, because operator[] has already reported it.
    bool is(bool (nlohmann::json::*test)() const noexcept, const char* type) const;

    const nlohmann::json* value_;
    std::string path_;
    ValidationErrors* errors_;
};

template <class T>
T JsonField::unsigned_integer() const {
    if (!is(&nlohmann::json::is_number, "a whole number")) return 0;
    if (!value_->is_number_integer() || (!value_->is_number_unsigned() && value_->get<std::int64_t>() < 0)) {
        report("is not a whole number");
        return T{};
    }
    const auto integer = value_->get<std::uint64_t>();
    if (integer > std::numeric_limits<T>::max()) {
        report("is too large");
        return T{};
    }
    return static_cast<T>(integer);
}

template <class Protocol>
boost::asio::ip::basic_endpoint<Protocol> JsonField::endpoint() const {
    if (!is(&nlohmann::json::is_string, "a text")) return {};
    const auto parsed = parse_address_and_port(text());
    if (!parsed) {
        report("is not address:port");
        return {};
    }
    return {parsed->address, parsed->port};
}

template <class T>
T JsonField::named(const std::vector<std::pair<const char*, T>>& names) const {
    if (!is(&nlohmann::json::is_string, "a text")) return names.front().second;
    const std::string wanted = text();
    for (const auto& [name, value] : names)
        if (wanted == name) return value;
    report("is not a known word");
    return names.front().second;
}

}  // namespace ochregrade::sidecar
