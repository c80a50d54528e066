#include "rattanrill/serving/bufferbudget.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace rattanrill::serving;

BOOST_AUTO_TEST_SUITE(BufferBudgetTest)

// Guards against a process that runs out of memory because many upstreams send bytes without end,
// and against a sound response that is given up instead of one of theirs.
BOOST_AUTO_TEST_CASE(largestBufferIsGivenUp)
{
    const auto budget = std::make_shared<BufferBudget>(100);
    int soundGivenUp = 0;
    int endlessGivenUp = 0;
    std::unique_ptr<BufferShare> endless;
    BufferShare sound(budget, [&] { ++soundGivenUp; });
    endless = std::make_unique<BufferShare>(budget, [&] {
        ++endlessGivenUp;
        endless.reset();
    });
    BOOST_TEST(endless->resize(80));
    BOOST_TEST(sound.resize(20));
    BOOST_TEST(sound.resize(30));
    BOOST_TEST(soundGivenUp == 0);
    BOOST_TEST(endlessGivenUp == 1);
    BOOST_TEST(budget->usedBytes() == 30u);
}

// Guards against a buffer that is given up by another one although it is the largest itself.
BOOST_AUTO_TEST_CASE(growingBufferIsRefusedIfItIsTheLargest)
{
    const auto budget = std::make_shared<BufferBudget>(100);
    int givenUp = 0;
    BufferShare other(budget, [&] { ++givenUp; });
    BOOST_TEST(other.resize(40));
    {
        BufferShare growing(budget, [&] { ++givenUp; });
        BOOST_TEST(growing.resize(60));
        BOOST_TEST(!growing.resize(61));
        BOOST_TEST(budget->usedBytes() == 40u);
    }
    BOOST_TEST(givenUp == 0);
    BOOST_TEST(budget->usedBytes() == 40u);
}

BOOST_AUTO_TEST_SUITE_END()
