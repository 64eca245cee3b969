// Tests of the table of configuration fields.
#include "control/config_schema.hpp"

#include <fstream>
#include <sstream>

#include "control/config_fixture.hpp"

namespace ochregrade::sidecar {
namespace {

TEST(Fields, DocumentationContainsTheTable) {
    std::ifstream file(OCHREGRADE_DOCS "/CONFIGURATION.md");
    std::stringstream text;
    text << file.rdbuf();
    EXPECT_NE(text.str().find(fields_as_markdown()), std::string::npos)
        << "copy the output of ochregrade --fields into docs/CONFIGURATION.md";
}

TEST(Fields, UnknownFieldsAreReportedByPath) {
    json config = full_config();
    EXPECT_EQ(unknown_fields(config), std::vector<std::string>{});
    config["setings"] = 1;
    config["limits"]["socket"] = 5;
    config["settings"]["classes"][1]["effects"] = "once";
    EXPECT_EQ(unknown_fields(config),
              (std::vector<std::string>{"limits.socket", "setings", "settings.classes[1].effects"}));
    config["known"]["hosts"][0]["whatever"] = 1;
    config["admin"] = "the platform's own";
    EXPECT_EQ(unknown_fields(config).size(), 4u) << "fields below known belong to discovery";
}

TEST(Fields, VersionsOmitStartOnlyFields) {
    const json kept = version_document(full_config());
    EXPECT_FALSE(kept.contains("seed"));
    EXPECT_FALSE(kept.contains("known"));
    EXPECT_EQ(kept.at("settings").at("classes").size(), 3u);
}

}  // namespace
}  // namespace ochregrade::sidecar
