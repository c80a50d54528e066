#include "loopthread.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace rattanrill;
using namespace rattanrill::net;

BOOST_AUTO_TEST_SUITE(EventLoopTest)

// Guards against removed timers that keep their callbacks until they would have expired: a timer
// that is restarted for each event of a stream would pile up.
BOOST_AUTO_TEST_CASE(removedTimerReleasesItsCallback)
{
    LoopThread thread;
    auto owned = std::make_shared<int>(0);
    const std::weak_ptr<int> observed = owned;
    thread.run([&] {
        TimerService &timers = thread.loop().timers();
        const auto timer =
                timers.subscribeOnce(absl::Hours(1), [owned = std::move(owned)] { ++*owned; });
        timers.unsubscribe(timer);
    });
    // The cancelled wait ends on the loop, before tasks that are posted later.
    thread.run([] {});
    thread.run([&] { BOOST_TEST(observed.expired()); });
}

// Guards against a timer that removes itself in its callback and fires again, or ends the loop.
BOOST_AUTO_TEST_CASE(timerMayRemoveItself)
{
    LoopThread thread;
    absl::Notification fired;
    int count = 0;
    TimerService::TimerId timer = 0;
    thread.run([&] {
        timer = thread.loop().timers().subscribeEvery(absl::Milliseconds(1), [&] {
            ++count;
            thread.loop().timers().unsubscribe(timer);
            fired.Notify();
        });
    });
    BOOST_REQUIRE(fired.WaitForNotificationWithTimeout(absl::Seconds(10)));
    thread.run([&] { BOOST_TEST(count == 1); });
}

// Guards against a crash when a process ends: pending timers and tasks own objects that remove
// their own timers when they are destroyed with the loop.
BOOST_AUTO_TEST_CASE(pendingCallbacksMayOwnTimers)
{
    struct TimerOwner
    {
        explicit TimerOwner(EventLoop &loop)
            : timers(loop.timers())
            , timer(timers.subscribeEvery(absl::Hours(1), [] {}))
        {}
        ~TimerOwner() { timers.unsubscribe(timer); }

        TimerService &timers;
        TimerService::TimerId timer;
    };
    auto loop = std::make_unique<EventLoop>();
    auto timerOwner = std::make_shared<TimerOwner>(*loop);
    auto taskOwner = std::make_shared<TimerOwner>(*loop);
    const std::weak_ptr<TimerOwner> observed[] = {timerOwner, taskOwner};
    loop->timers().subscribeOnce(absl::Hours(1), [owner = std::move(timerOwner)] {});
    loop->post([owner = std::move(taskOwner)] {});
    loop.reset();
    BOOST_TEST(observed[0].expired());
    BOOST_TEST(observed[1].expired());
}

BOOST_AUTO_TEST_SUITE_END()
