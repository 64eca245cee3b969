// Tests that the text of a ConfigError contains the path of the invalid field.
#include "control/config.hpp"
#include "support/stepped_sidecar.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(ConfigError, NamesTheField) {
    const json good = a_config(kNoAddress, {host("s1", kNoAddress)});
    EXPECT_NO_THROW(read_config(good));
    const auto error_of = [&](const std::string& pointer, const json& value) -> std::string {
        json bad = good;
        if (value.is_null())
            bad = bad.patch(json::array({{{"op", "remove"}, {"path", pointer}}}));
        else
            bad[json::json_pointer(pointer)] = value;
        try {
            read_config(bad);
        } catch (const ConfigError& error) {
            return error.what();
        }
        return "none";
    };
    const auto expect_named = [&](const std::string& pointer, const json& value, const std::string& field) {
        EXPECT_NE(error_of(pointer, value).find(field), std::string::npos) << error_of(pointer, value);
    };
    expect_named("/name", nullptr, "name is missing");
    expect_named("/listen", nullptr, "listen is missing");
    expect_named("/listen", "here:port", "listen is not address:port");
    expect_named("/listen", "127.0.0.1:", "listen is not address:port");
    expect_named("/discovery", 7, "discovery is not a text");
    expect_named("/seed", "xyz", "seed is not a hex number");
    expect_named("/settings", nullptr, "settings is missing");
    expect_named("/settings/classes", json::array(), "classes");
    expect_named("/settings/classes/1/effect", "maybe", "settings.classes[1].effect");
    expect_named("/settings/classes/0/on-time-ms", "soon", "settings.classes[0].on-time-ms");
    expect_named("/settings/limits/max-attempts", -1, "settings.limits.max-attempts");
    expect_named("/known/hosts/0/dial", "x", "known.hosts[0].dial");
    expect_named("/limits", {{"sockets", 5}}, "limits.sockets");
}

}  // namespace
}  // namespace ochregrade::sidecar
