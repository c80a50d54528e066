#include "rattanrill/base/timerservice.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace rattanrill;

BOOST_AUTO_TEST_SUITE(TimerServiceTest)

// Guards against timers that fire out of order or drift when a test advances over several periods.
BOOST_AUTO_TEST_CASE(manualServiceFiresInOrderOfTime)
{
    ManualClock clock;
    ManualTimerService timers(clock);
    std::string order;
    timers.subscribeOnce(absl::Seconds(3), [&] { order += 'c'; });
    timers.subscribeEvery(absl::Seconds(2), [&] { order += 'b'; });
    timers.subscribeOnce(absl::Seconds(1), [&] { order += 'a'; });
    timers.advance(absl::Seconds(4));
    BOOST_TEST(order == "abcb");
}

// Guards against a use after free: the owner of a callback goes away right after unsubscribe().
BOOST_AUTO_TEST_CASE(callbackDoesNotRunAfterUnsubscribe)
{
    ThreadTimerService timers;
    for (int round = 0; round < 50; ++round) {
        std::atomic<bool> alive = true;
        std::atomic<bool> ranAfterEnd = false;
        const auto id = timers.subscribeEvery(absl::Microseconds(50), [&] {
            if (!alive)
                ranAfterEnd = true;
        });
        timers.unsubscribe(id);
        alive = false;
        BOOST_TEST(!ranAfterEnd);
    }
}

BOOST_AUTO_TEST_SUITE_END()
