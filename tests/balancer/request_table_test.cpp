#include "balancer/request_table.hpp"

#include "balancer/timers.hpp"
#include "module_fixture.hpp"

namespace ochregrade::test {
namespace {

using namespace detail;

TEST(RequestTable, AnIdIsTakenOnce) {
    RequestTable table;
    ASSERT_NE(table.insert(7), nullptr);
    EXPECT_EQ(table.insert(7), nullptr);
    EXPECT_EQ(table.find(7)->id, 7U);
    EXPECT_EQ(table.find(8), nullptr);
}

TEST(RequestTable, AnEndedRequestStaysWhileAnAttemptIsInFlight) {
    RequestTable table;
    Request& request = *table.insert(7);
    request.attempts.push_back({});
    request.ended = true;
    table.note_ended(7);
    table.erase_ended();
    ASSERT_EQ(table.size(), 1U);
    request.attempts[0].in_flight = false;
    table.note_ended(7);
    table.erase_ended();
    EXPECT_EQ(table.size(), 0U);
}

TEST(RequestTable, TakeQueueOmitsRequestsThatNoLongerWait) {
    RequestTable table;
    for (RequestId id = 1; id <= 4; ++id) {
        table.insert(id);
        table.enqueue(id);
    }
    table.enqueue(99);
    table.find(2)->ended = true;
    table.find(3)->attempts.push_back({});
    EXPECT_EQ(table.take_queue(), (std::vector<RequestId>{1, 4}));
    EXPECT_TRUE(table.is_queue_empty());
}

TEST(TimerTable, EachTimerFiresOnceForItsPurpose) {
    ModuleFixture fixture;
    Timers timers(fixture.context);
    timers.set(200000, {TimerPurpose::request, 7});
    const std::vector<SetTimer> set = fixture.actions_of<SetTimer>();
    ASSERT_EQ(set.size(), 1U);
    EXPECT_EQ(set[0].at, 200000);
    const std::optional<Timer> fired = timers.take(set[0].token);
    ASSERT_TRUE(fired);
    EXPECT_EQ(fired->request, 7U);
    EXPECT_FALSE(timers.take(set[0].token));
    EXPECT_EQ(timers.size(), 0U);
}

}  // namespace
}  // namespace ochregrade::test
