#include "control/json_field.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>

namespace ochregrade::sidecar {

namespace {

using nlohmann::json;

// Longest accepted duration in ms, more than eleven days. Times are doubles, which lose precision with much
// longer durations.
constexpr Millis kLongestDuration = 1e9;

}  // namespace

std::optional<AddressAndPort> parse_address_and_port(const std::string& text) {
    const auto colon = text.rfind(':');
    std::string address_text = text.substr(0, colon);
    if (address_text.size() > 2 && address_text.front() == '[' && address_text.back() == ']')
        address_text = address_text.substr(1, address_text.size() - 2);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(address_text, ec);
    if (ec || colon == std::string::npos || colon + 1 == text.size()) return {};
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    if (std::from_chars(text.data() + colon + 1, end, port).ptr != end) return {};
    return AddressAndPort{address, port};
}

JsonField JsonField::operator[](const std::string& name) const {
    JsonField field = child(name);
    if (!field.value_ && value_ && value_->is_object()) field.report("is missing");
    return field;
}

std::vector<JsonField> JsonField::items() const {
    std::vector<JsonField> all;
    if (!is(&json::is_array, "a list")) return all;
    for (std::size_t i = 0; i < value_->size(); ++i)
        all.emplace_back(&(*value_)[i], path_ + "[" + std::to_string(i) + "]", *errors_);
    return all;
}

std::string JsonField::text() const {
    return is(&json::is_string, "a text") ? value_->get<std::string>() : std::string();
}

double JsonField::number() const {
    if (!is(&json::is_number, "a number")) return 0;
    const double value = value_->get<double>();
    if (std::isfinite(value)) return value;
    report("is not a finite number");
    return 0;
}

double JsonField::non_negative() const {
    const double value = number();
    if (!(value < 0)) return value;
    report("is negative");
    return 0;
}

Millis JsonField::duration() const {
    const Millis value = non_negative();
    if (value <= kLongestDuration) return value;
    report("is too long a time");
    return 0;
}

double JsonField::fraction() const {
    const double value = non_negative();
    if (value <= 1) return value;
    report("is over 1");
    return 0;
}

bool JsonField::flag() const { return is(&json::is_boolean, "true or false") && value_->get<bool>(); }

JsonField JsonField::child(const std::string& name) const {
    const std::string path = path_.empty() ? name : path_ + "." + name;
    if (!value_) return {nullptr, path, *errors_};
    if (!value_->is_object()) {
        report("is not an object");
        return {nullptr, path, *errors_};
    }
    const auto found = value_->find(name);
    const bool present = found != value_->end() && !found->is_null();
    return {present ? &*found : nullptr, path, *errors_};
}

bool JsonField::is(bool (json::*test)() const noexcept, const char* type) const {
    if (!value_) return false;
    const bool matches = (value_->*test)();
    if (!matches) report(std::string("is not ") + type);
    return matches;
}

}  // namespace ochregrade::sidecar
