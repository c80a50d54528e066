#include "rattanrill/base/timerservice.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace rattanrill;

BOOST_AUTO_TEST_SUITE(TimerServiceTest)

// Guards against timers that fire out of order or drift when a test advances over several periods.
BOOST_AUTO_TEST_CASE(manualTimersFireInOrderOfTime)
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

// Guards against a use after free: owners may be destroyed as soon as unsubscribe() returns, so no
// callback may be running or start after that.
BOOST_AUTO_TEST_CASE(callbackDoesNotRunAfterUnsubscribe)
{
    ThreadTimerService timers;
    for (int round = 0; round < 50; ++round) {
        std::atomic<bool> subscribed = true;
        std::atomic<bool> ranAfterUnsubscribe = false;
        const auto id = timers.subscribeEvery(absl::Microseconds(50), [&] {
            if (!subscribed)
                ranAfterUnsubscribe = true;
        });
        timers.unsubscribe(id);
        subscribed = false;
        BOOST_TEST(!ranAfterUnsubscribe);
    }
}

BOOST_AUTO_TEST_SUITE_END()
