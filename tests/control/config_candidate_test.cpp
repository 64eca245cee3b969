// Tests that configuration errors contain the path of the field, and that candidates are validated against
// the configuration in force.
#include "control/config_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(Candidate, AllErrorsAreReportedWithTheirPaths) {
    json config = full_config();
    config.erase("name");
    config["discovery"] = 7;
    config["limits"]["sockets"] = 5;
    config["peers"][1] = "here";
    config["settings"]["classes"][0]["on-time-ms"] = 0;
    config["settings"]["classes"][1]["effect"] = "maybe";
    config["settings"]["classes"][2]["name"] = "listen";
    config["settings"]["limits"]["max-attempts"] = 0;
    config["settings"]["rules"]["cold-from"] = 1.5;
    config["settings"]["siblings"] = -3;
    config["ochregrade"]["admin"]["listen"] = "10.0.0.1:80";
    EXPECT_EQ(
        errors_of([&] { read_config(config); }),
        (std::vector<std::string>{
            "name is missing", "discovery is not a text", "limits.sockets is under 64, too few to serve with",
            "peers[1] is not address:port", "ochregrade.admin.listen is not a loopback address",
            "settings.classes[0].on-time-ms must be over 0", "settings.classes[1].effect is not a known word",
            "settings.classes[2].name is the name of another class too",
            "settings.siblings is not a whole number", "settings.limits.max-attempts must be over 0",
            "settings.rules.cold-from is over 1"}));
}

TEST(Candidate, FixedFieldsMayNotChangeAndStartOnlyOnesAreIgnored) {
    json config = full_config();
    config["ochregrade"]["admin"]["listen"] = "127.0.0.1:0";
    const Config running = read_config(config);
    json next = config;
    next["seed"] = "ff";
    next["known"] = "nonsense";
    EXPECT_EQ(read_candidate(next, running, true).document, running.document);
    EXPECT_EQ(read_candidate(next, running, true).seed, running.seed);
    for (const char* field : {"name", "listen", "seed", "known"}) next.erase(field);
    next["ochregrade"].erase("admin");
    EXPECT_EQ(read_candidate(next, running, true).document, running.document)
        << "omitted fields keep their values";
    next["name"] = "n1";
    next["listen"] = "127.0.0.1:9";
    next["ochregrade"]["admin"]["listen"] = "127.0.0.1:9";
    EXPECT_EQ(errors_of([&] { read_candidate(next, running, true); }),
              (std::vector<std::string>{"name can't change while the program runs",
                                        "listen can't change while the program runs",
                                        "ochregrade.admin.listen can't change while the program runs"}));
}

TEST(Candidate, UnknownFieldsAreToleratedInTheFileAndRejectedFromOperators) {
    const Config running = read_config(full_config());
    json next = full_config();
    next["settings"]["clases"] = 1;
    EXPECT_EQ(read_candidate(next, running, false).document, running.document);
    EXPECT_EQ(errors_of([&] { read_candidate(next, running, true); }),
              (std::vector<std::string>{"settings.clases is not known"}));
}

TEST(Candidate, ValuesThatAreNoObjectsAreReported) {
    json config = full_config();
    config["limits"] = 5;
    config["ochregrade"] = json::array();
    config["settings"]["rules"] = "strict";
    EXPECT_EQ(errors_of([&] { read_config(config); }),
              (std::vector<std::string>{"limits is not an object", "ochregrade is not an object",
                                        "settings.rules is not an object"}));
}

// The platform's file has undocumented top-level fields, such as "admin". A top-level field must not be read
// as the field of the same name in the section "ochregrade".
TEST(Candidate, PlatformFieldsAreIgnored) {
    json config = full_config();
    config["admin"] = "127.0.0.1:80";
    config["trial"] = 7;
    config["state"] = json::array();
    EXPECT_FALSE(read_config(config).operator_endpoint);
}

// A randomly damaged file is either accepted or ends in a ConfigError that contains at least one error, each
// with its path. It never ends in another exception.
TEST(Candidate, RandomDamageEndsInErrorsWithPaths) {
    const Config running = read_config(full_config());
    const std::string good = full_config().dump();
    std::uint64_t state = 7;
    const auto roll = [&](std::size_t n) {
        state = state * 6364136223846793005u + 1442695040888963407u;
        return static_cast<std::size_t>(state >> 33) % n;
    };
    int refused = 0;
    for (int i = 0; i < 4000; ++i) {
        std::string text = good;
        for (std::size_t n = 1 + roll(4); n > 0; --n) {
            const std::size_t at = roll(text.size());
            if (roll(3) == 0)
                text.erase(at, roll(20));
            else if (roll(2) == 0)
                text.insert(at, 1, "{}[]\",:0-9e\\n\x01\xff"[roll(16)]);
            else
                text[at] = static_cast<char>(roll(256));
        }
        try {
            read_candidate(parse_config(text, "the file"), running, roll(2) == 0);
        } catch (const ConfigError& error) {
            ++refused;
            ASSERT_FALSE(error.errors.empty());
            for (const ValidationError& validation : error.errors) EXPECT_FALSE(validation.field.empty());
        }
    }
    EXPECT_GT(refused, 2000);
    EXPECT_THROW(parse_config(std::string(100000, '['), "the file"), ConfigError)
        << "the parser must not recurse this deep";
}

}  // namespace
}  // namespace ochregrade::sidecar
