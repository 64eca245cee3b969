// Tests the host of balancer instances with input as the simulator writes it.
#include "simulator/balancer_host.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "wire_lines.hpp"

namespace ochregrade::wire {
namespace {

const std::string kCatalog =
    "CATALOG ref=0 items=2\n"
    "M server=server_a rack-zone=hall-a kind=standard-4 pod=0 phase=on units=1\n"
    "M server=server_b rack-zone=hall-b kind=standard-4 pod=0 phase=on units=1.5\n";
const std::string kCachedList = "PEERS_KNOWN who=sidecar-3 ref=0 index=41 mode=SAVED\n";
const std::string kAccept = "ACCEPT who=sidecar-3 rid=r-1 effort-ms=12.0 grade=listen time-left-ms=240.0\n";
const std::string kOverToYou = "OVER_TO_YOU\n";

std::string mark(int frame, double now = 1000) {
    return "MARK now-ms=" + std::to_string(now) + " frame=" + std::to_string(frame) + "\n";
}

struct Result {
    int status;
    std::string out, err;
};
Result run(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int status = BalancerHost(in, out, err).run();
    return {status, out.str(), err.str()};
}
const std::string kOpening = mark(1) + kStartLine + kCatalog + kCachedList + kOverToYou;

TEST(BalancerHost, EmptyBatchAndEndOfInput) {
    const Result result = run(mark(1) + kOverToYou);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.out, "END frame=1\n");
    EXPECT_EQ(run("").status, 0);
}

TEST(BalancerHost, AnAcceptedRequestIsDispatched) {
    const Result result = run(kOpening + mark(2, 1010) + kAccept + kOverToYou);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_NE(result.out.find("DISPATCH who=sidecar-3 rid=r-1 server=server_"), std::string::npos)
        << result.out;
    EXPECT_NE(result.out.find("AFTER who=sidecar-3 at-ms=1250.000 nonce="), std::string::npos) << result.out;
    EXPECT_NE(result.out.find("END frame=2\n"), std::string::npos);
}

TEST(BalancerHost, AFailedAttemptIsRetriedAtAnotherEndpoint) {
    const Result first = run(kOpening + mark(2, 1010) + kAccept + kOverToYou);
    const bool first_is_a = first.out.find("server=server_a") != std::string::npos;
    const std::string failed = first_is_a ? "server_a" : "server_b",
                      other = first_is_a ? "server_b" : "server_a";
    const Result result =
        run(kOpening + mark(2, 1010) + kAccept + kOverToYou + mark(3, 1020) +
            "VERDICT who=sidecar-3 rid=r-1 server=" + failed +
            " duration-ms=10 rc=refused_conn hop=0 metrics=active:3,cpu:0.5\n" + kOverToYou);
    EXPECT_NE(result.out.find("DISPATCH who=sidecar-3 rid=r-1 server=" + other), std::string::npos)
        << result.out;
}

TEST(BalancerHost, ACatalogNumberMayBeReusedWithinABatch) {
    const std::string second = "CATALOG ref=0 items=1\nM server=server_c rack-zone=hall-a pod=0 phase=on\n";
    const Result result = run(mark(1) + kStartLine + kCatalog + kCachedList + second +
                              "PEERS_KNOWN who=sidecar-3 ref=0 index=42 mode=FULL\n" + kAccept + kOverToYou);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_NE(result.out.find("server=server_c"), std::string::npos) << result.out;
}

TEST(BalancerHost, RestartWithinABatchClearsTheInstance) {
    const Result result = run(kOpening + mark(2) + kAccept + "POWER_OFF who=sidecar-3\n" + kStartLine +
                              kCachedList + kAccept + kOverToYou);
    EXPECT_EQ(result.status, 0) << result.err;
}

TEST(BalancerHost, InstancesHaveSeparateEndpointLists) {
    std::string other = kStartLine;
    other.replace(other.find("sidecar-3"), 9, "sidecar-9");
    const Result result = run(mark(1) + kStartLine + other + kCatalog + kCachedList + kOverToYou + mark(2) +
                              "ACCEPT who=sidecar-9 rid=r-9 grade=listen time-left-ms=240\n" + kOverToYou);
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.out.find("DISPATCH"), std::string::npos) << "sidecar-9 has received no endpoint list";
}

TEST(BalancerHost, StaleEventsAndUnknownKindsAreSkipped) {
    const Result result =
        run(kOpening + mark(2) + "EXPIRED who=sidecar-3 rid=never\n" +
            "VERDICT who=sidecar-3 rid=never server=server_a rc=completed hop=0 terminal=1\n" +
            "TICK_DUE who=sidecar-3 nonce=77\nHEALTH who=sidecar-3 server=server_a rc=completed\n" +
            "MEMO who=sidecar-3 src-peer=2 msg=-\nNOVELTY who=sidecar-3 x=1\nNOVELTY x=2\n" + kOverToYou);
    EXPECT_EQ(result.status, 0) << result.err;
    EXPECT_EQ(result.err.find("NOVELTY"), result.err.rfind("NOVELTY")) << "reported once";
    EXPECT_NE(result.err.find("NOVELTY"), std::string::npos);
}

TEST(BalancerHost, MalformedInputIsReportedInOneLineWithItsPosition) {
    const auto error_of = [](const std::string& text) {
        const Result result = run(text);
        EXPECT_NE(result.status, 0) << text;
        EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
        return result.err;
    };
    const auto expect_part = [](const std::string& text, const std::string& part) {
        EXPECT_NE(text.find(part), std::string::npos) << text;
    };
    expect_part(error_of(kOpening + mark(2) + "ACCEPT who=sidecar-3 rid=r-1 grade=listen\n" + kOverToYou),
                "line 9: ACCEPT: field 'time-left-ms'");
    expect_part(error_of(kOpening + mark(2) + "ACCEPT who=sidecar-3 rid=r grade=listen time-left-ms=abc\n" +
                         kOverToYou),
                "'time-left-ms'");
    expect_part(error_of(kOpening + mark(2) + "ACCEPT who=sidecar-8 rid=r grade=listen time-left-ms=1\n" +
                         kOverToYou),
                "'who'");
    expect_part(error_of(mark(1) + "CATALOG ref=0 items=2\nM server=a phase=on\n" + kOverToYou), "'items'");
    expect_part(error_of(mark(1) + "CATALOG ref=16 items=0\n" + kOverToYou), "'ref'");
    expect_part(error_of(kOpening + mark(2) + kAccept), "OVER_TO_YOU");
    expect_part(error_of(kOpening + mark(2) + "TICK_DUE who=sidecar-3 nonce=-4\n" + kOverToYou), "'nonce'");
    expect_part(error_of(kOpening + mark(2) + "VERDICT who=sidecar-3 rid=r-1 server=server_a hop=0 rc=odd\n" +
                         kOverToYou),
                "'rc'");
    expect_part(error_of(kOpening + mark(2) + "MEMO who=sidecar-3 src-peer=1 msg=abc\n" + kOverToYou),
                "'msg'");
    expect_part(error_of("OVER_TO_YOU\n"), "MARK");
}

TEST(BalancerHost, InvalidSettingsAreReportedAsAFault) {
    std::string invalid = kStartLine;
    invalid.replace(invalid.find("rules.cold-from=0.16"), 20, "rules.cold-from=1.60");
    const Result result = run(mark(1) + invalid + kOverToYou);
    EXPECT_NE(result.out.find("FAULT who=sidecar-3 words="), std::string::npos) << result.out;
    EXPECT_NE(result.out.find("slow_start_least_share"), std::string::npos) << result.out;
}

TEST(BalancerHost, AMegabyteLongBatchIsProcessedCompletely) {
    std::string batch = kOpening + mark(2);
    for (int i = 0; i < 20000; ++i)
        batch += "ACCEPT who=sidecar-3 rid=long-" + std::to_string(i) + " grade=deposit time-left-ms=500\n";
    const Result result = run(batch + kOverToYou + mark(3, 9000) + kOverToYou);
    EXPECT_EQ(result.status, 0);
    EXPECT_NE(result.out.find("END frame=3\n"), std::string::npos);
}

}  // namespace
}  // namespace ochregrade::wire
