// The configuration without sockets: its table of fields, candidates, and the life of generations on a clock
// that the test moves.
#include <fstream>
#include <sstream>

#include "control/config_schema.hpp"
#include "control/config_versions.hpp"
#include "support/sidecar_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

using Source = ConfigVersions::Source;
using State = ConfigVersions::State;

json everything() {
    json config = a_config("127.0.0.1:1", {host("s1", "127.0.0.1:2")});
    config["limits"] = {{"sockets", 512}, {"memory_mb", 64}, {"cores", 0.5}};
    config["peer_listen"] = "127.0.0.1:7946";
    config["peers"] = {"127.0.0.1:7946", "127.0.0.2:7946"};
    config["peers_all"] = "127.0.0.255:7946";
    config["ochregrade"]["trial"] = {{"bake_ms", 5000}, {"margin", 0.1}, {"min_samples", 20}};
    config["settings"]["azs"] = {"a", "b"};
    config["settings"]["my-zone"] = "a";
    config["settings"]["goal"] = {{"whole", 0.4}};
    config["settings"]["tenants"] = json::array({{{"name", "kansallis"}, {"share", 0.28}}});
    config["settings"]["rules"] = {{"cold-from", 0.2}, {"grace-to-answer-ms", 20}};
    return config;
}

std::vector<std::string> complaints_of(const std::function<void()>& read) {
    std::vector<std::string> all;
    try {
        read();
    } catch (const ConfigError& error) {
        for (const ValidationError& c : error.errors) all.push_back(c.field + " " + c.what);
    }
    return all;
}

TEST(Fields, TheDocsSayWhatTheTableSays) {
    std::ifstream file(OCHREGRADE_DOCS "/CONFIGURATION.md");
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_NE(text.str().find(fields_as_markdown()), std::string::npos)
        << "put what ochregrade --fields prints into docs/CONFIGURATION.md";
}

// What a version before 0.2 called the program's own section.
json under_former_name(json config) {
    config[kFormerSection] = config[kOwnSection];
    config.erase(kOwnSection);
    return config;
}

TEST(FormerSection, IsReadAsThePresentOne) {
    const std::string text = under_former_name(everything()).dump();
    const Config config = read_config(parse_config(text, "the file"));
    EXPECT_EQ(config.canary.duration, 5000);
    EXPECT_EQ(config.document, read_config(everything()).document);
}

TEST(FormerSection, BesideThePresentOneIsAnError) {
    json config = everything();
    config[kFormerSection] = config[kOwnSection];
    EXPECT_EQ(complaints_of([&] { parse_config(config.dump(), "the file"); }),
              std::vector<std::string>{"the file has both ochregrade and cobaltshift, its former name"});
}

TEST(Fields, UnknownOnesAreNamedByTheirPath) {
    json config = everything();
    EXPECT_EQ(unknown_fields(config), std::vector<std::string>{});
    config["setings"] = 1;
    config["limits"]["socket"] = 5;
    config["settings"]["classes"][1]["effects"] = "once";
    EXPECT_EQ(unknown_fields(config),
              (std::vector<std::string>{"limits.socket", "setings", "settings.classes[1].effects"}));
    config["known"]["hosts"][0]["whatever"] = 1;
    config["admin"] = "the platform's own";
    EXPECT_EQ(unknown_fields(config).size(), 4u) << "what lies below known is discovery's";
}

TEST(Fields, AGenerationLeavesOutWhatIsReadAtTheStartOnly) {
    const json kept = generation_document(everything());
    EXPECT_FALSE(kept.contains("seed"));
    EXPECT_FALSE(kept.contains("known"));
    EXPECT_EQ(kept.at("settings").at("classes").size(), 3u);
}

TEST(Candidate, EveryComplaintComesAtOnceWithItsPath) {
    json config = everything();
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
        complaints_of([&] { read_config(config); }),
        (std::vector<std::string>{
            "name is missing", "discovery is not a text", "limits.sockets is under 64, too few to serve with",
            "peers[1] is not address:port", "ochregrade.admin.listen is not a loopback address",
            "settings.classes[0].on-time-ms must be over 0", "settings.classes[1].effect is not a known word",
            "settings.classes[2].name is the name of another class too",
            "settings.siblings is not a whole number", "settings.limits.max-attempts must be over 0",
            "settings.rules.cold-from is over 1"}));
}

TEST(Candidate, FixedFieldsMayNotChangeAndStartOnlyOnesDoNotMatter) {
    json config = everything();
    config["ochregrade"]["admin"]["listen"] = "127.0.0.1:0";
    const Config running = read_config(config);
    json next = config;
    next["seed"] = "ff";
    next["known"] = "nonsense";
    EXPECT_EQ(read_candidate(next, running, true).document, running.document);
    EXPECT_EQ(read_candidate(next, running, true).seed, running.seed);
    for (const char* field : {"name", "listen", "seed", "known"}) next.erase(field);
    next["ochregrade"].erase("admin");
    EXPECT_EQ(read_candidate(next, running, true).document, running.document) << "left out: as it was";
    next["name"] = "n1";
    next["listen"] = "127.0.0.1:9";
    next["ochregrade"]["admin"]["listen"] = "127.0.0.1:9";
    EXPECT_EQ(complaints_of([&] { read_candidate(next, running, true); }),
              (std::vector<std::string>{"name can't change while the program runs",
                                        "listen can't change while the program runs",
                                        "ochregrade.admin.listen can't change while the program runs"}));
}

TEST(Candidate, UnknownFieldsAreToleratedFromTheFileAndRefusedFromOperators) {
    const Config running = read_config(everything());
    json next = everything();
    next["settings"]["clases"] = 1;
    EXPECT_EQ(read_candidate(next, running, false).document, running.document);
    EXPECT_EQ(complaints_of([&] { read_candidate(next, running, true); }),
              (std::vector<std::string>{"settings.clases is not known"}));
}

TEST(Candidate, WhatIsNoObjectIsSaidToBeNone) {
    json config = everything();
    config["limits"] = 5;
    config["ochregrade"] = json::array();
    config["settings"]["rules"] = "strict";
    EXPECT_EQ(complaints_of([&] { read_config(config); }),
              (std::vector<std::string>{"limits is not an object", "ochregrade is not an object",
                                        "settings.rules is not an object"}));
}

// The platform's file has fields that no page names, and one of them was called admin.
TEST(Candidate, FieldsOfThePlatformsOwnAreLeftAlone) {
    json config = everything();
    config["admin"] = "127.0.0.1:80";
    config["trial"] = 7;
    config["state"] = json::array();
    EXPECT_FALSE(read_config(config).operator_endpoint);
}

// Whatever stands in a file, reading it ends with a configuration or with complaints.
TEST(Candidate, RandomDamageIsComplainedOfAndNothingElse) {
    const Config running = read_config(everything());
    const std::string good = everything().dump();
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
            for (const ValidationError& c : error.errors) EXPECT_FALSE(c.field.empty());
        }
    }
    EXPECT_GT(refused, 2000);
    EXPECT_THROW(parse_config(std::string(100000, '['), "the file"), ConfigError) << "no deep recursion";
}

TEST(ConfigurationFile, OneThatIsReplacedWhileItIsReadIsOneOrTheOther) {
    json config = everything();
    const std::string one = config.dump();
    config["name"] = std::string(50000, 'n');
    const std::string other = config.dump();
    ConfigFile file(one);
    std::atomic<bool> stop{false};
    std::thread writer([&] {
        for (int i = 0; !stop; ++i) file.replace(i % 2 ? one : other);
    });
    int wrong = 0;
    for (int i = 0; i < 500; ++i) {
        const std::string text = read_config_file();
        wrong += text != one && text != other;
    }
    stop = true;
    writer.join();
    EXPECT_EQ(wrong, 0);
}

TEST(ConfigurationFile, VariablesGoBeforeItButNotBeforeAMovedDiscovery) {
    json config = everything();
    ConfigFile file(config.dump());
    ::setenv("NODE_NAME", "n9", 1);
    ::setenv("NODE_DISCOVERY", "127.0.0.1:77", 1);
    const Config running = read_config(start_document());
    EXPECT_EQ(running.name, "n9");
    EXPECT_EQ(running.discovery_address.port(), 77);
    EXPECT_EQ(read_candidate(reload_document(), running, false).discovery_address.port(), 1);
    config["name"] = "n10";
    file.write(config.dump());
    EXPECT_EQ(read_candidate(reload_document(), running, false).name, "n9") << "the variable still says so";
    ::unsetenv("NODE_NAME");
    ::unsetenv("NODE_DISCOVERY");
    EXPECT_EQ(complaints_of([&] { read_candidate(reload_document(), running, false); }),
              (std::vector<std::string>{"name can't change while the program runs"}));
}

// ---- ConfigVersions
// ----------------------------------------------------------------------------------------

struct Life {
    ConfigVersions generations;
    Millis now = 1e6;
    Life() { commit(Source::start); }
    std::uint64_t commit(Source source, std::uint64_t content = 0, CanaryRule rule = {}) {
        auto snapshot = std::make_shared<ConfigSnapshot>();
        snapshot->version = generations.next_version();
        snapshot->config.longest_deadline = 1000;
        generations.commit(snapshot, source, content, rule, now);
        return snapshot->version;
    }
    void answers(int served, int lost, std::uint64_t generation = 0) {
        for (int i = 0; i < served + lost; ++i)
            generations.record_answer(generation ? generation : generations.current().number(), i < served,
                                      now);
    }
    State state(std::uint64_t generation) { return generations.find(generation)->state; }
};
const CanaryRule kTrial{5000, 0.05, 20};

TEST(Trial, OneThatServesAsWellIsGood) {
    Life life;
    life.answers(90, 10);
    const auto next = life.commit(Source::operators, 0, kTrial);
    EXPECT_EQ(life.state(next), State::canary);
    life.answers(88, 12);
    EXPECT_FALSE(life.generations.due(life.now + 4999));
    EXPECT_EQ(life.state(next), State::canary) << "not before its time is over";
    EXPECT_FALSE(life.generations.due(life.now + 5000));
    EXPECT_EQ(life.state(next), State::good);
}

TEST(Trial, OneThatServesLessIsTakenBackAsSoonAsThatIsKnown) {
    Life life;
    life.answers(100, 0);
    const auto next = life.commit(Source::operators, 0, kTrial);
    life.answers(0, 19);
    EXPECT_FALSE(life.generations.due(life.now)) << "too few to say";
    life.answers(0, 1);
    const auto back = life.generations.due(life.now);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->to->number(), 1u);
    EXPECT_TRUE(life.generations.due(life.now)) << "it says so until it is carried out";
    const auto third = life.commit(Source::canary, back->to->content_version);
    EXPECT_EQ(life.state(next), State::rolled_back);
    EXPECT_EQ(life.state(third), State::good);
    EXPECT_EQ(life.generations.current().content_version, 1u);
    EXPECT_FALSE(life.generations.due(life.now + 1e6));
}

TEST(Trial, IsJudgedByItsOwnRequestsOnly) {
    Life life;
    life.answers(100, 0);
    const auto next = life.commit(Source::operators, 0, kTrial);
    life.answers(0, 200, 1);  // those that began before it
    life.answers(40, 0, next);
    EXPECT_FALSE(life.generations.due(life.now + 6000));
    EXPECT_EQ(life.state(next), State::good);
}

TEST(Trial, NoDataIsNotHealth) {
    Life life;
    life.answers(100, 0);
    life.commit(Source::file, 0, kTrial);
    life.answers(19, 0);
    EXPECT_FALSE(life.generations.due(life.now + 19999)) << "it waits for answers";
    EXPECT_TRUE(life.generations.due(life.now + 20000)) << "but not for ever";
}

TEST(Trial, WithoutAnswersBeforeItIsHeldToAll) {
    Life life;
    life.commit(Source::file, 0, kTrial);
    life.answers(18, 2);
    EXPECT_TRUE(life.generations.due(life.now));
}

TEST(Trial, LastsNoLessThanTheLongestDeadline) {
    Life life;
    life.answers(100, 0);
    const auto next = life.commit(Source::file, 0, {10, 0.05, 20});
    life.answers(50, 0);
    EXPECT_FALSE(life.generations.due(life.now + 999));
    EXPECT_EQ(life.state(next), State::canary);
}

TEST(Trial, AnotherGenerationDuringItLeavesTheLastGoodOneToFallBackTo) {
    Life life;
    life.answers(100, 0);
    const auto second = life.commit(Source::operators, 0, kTrial);
    const auto third = life.commit(Source::file, 0, kTrial);
    EXPECT_EQ(life.state(second), State::superseded);
    EXPECT_EQ(life.generations.canary()->fallback, 1u);
    life.answers(0, 20, third);
    EXPECT_EQ(life.generations.due(life.now)->to->number(), 1u);
}

TEST(Rollback, DuringATrialEndsIt) {
    Life life;
    const auto second = life.commit(Source::operators, 0, kTrial);
    ASSERT_EQ(life.generations.previous()->number(), 1u);
    life.commit(Source::rollback, 1, kTrial);
    EXPECT_EQ(life.state(second), State::withdrawn);
    EXPECT_FALSE(life.generations.canary()) << "what was good once needs no second trial";
}

TEST(Rollback, TwiceGoesTwoBackAndNoFurtherThanThereIs) {
    Life life;
    life.commit(Source::operators);
    life.commit(Source::operators);
    ASSERT_EQ(life.generations.previous()->number(), 2u);
    life.commit(Source::rollback, 2);  // the fourth, which says what the second did
    ASSERT_EQ(life.generations.previous()->number(), 1u);
    life.commit(Source::rollback, 1);
    EXPECT_EQ(life.generations.previous(), nullptr);
}

TEST(Rollback, SkipsWhatWasTakenBackOrNeverProven) {
    Life life;
    life.commit(Source::operators, 0, kTrial);  // 2, superseded
    life.commit(Source::operators);             // 3
    life.commit(Source::operators);             // 4
    ASSERT_EQ(life.generations.previous()->number(), 3u);
    life.commit(Source::rollback, 3);
    EXPECT_EQ(life.generations.previous()->number(), 1u);
}

TEST(Generations, TheLastOnesAreKeptAndTheFallbackOfATrialAmongThem) {
    Life life;
    for (int i = 0; i < 20; ++i) life.commit(Source::operators, 0, kTrial);
    EXPECT_EQ(life.generations.retained().size(), ConfigVersions::kMaxRetained);
    ASSERT_NE(life.generations.find(1), nullptr) << "none after it was ever found good";
    EXPECT_EQ(life.generations.canary()->fallback, 1u);
    EXPECT_EQ(life.generations.find(5), nullptr);
}

TEST(Generations, SharesAreOfTheLastMinute) {
    Life life;
    life.answers(10, 0);
    life.now += 30000;
    life.answers(0, 10);
    EXPECT_EQ(life.generations.recent(life.now).all, 20u);
    life.now += 31000;
    EXPECT_EQ(life.generations.recent(life.now).all, 10u);
    EXPECT_EQ(life.generations.recent(life.now).served, 0u);
}

}  // namespace
}  // namespace ochregrade::sidecar
