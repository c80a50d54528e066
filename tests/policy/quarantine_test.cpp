#include "rattanrill/policy/quarantine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>

using namespace rattanrill::policy;

namespace rattanrill::policy {

std::ostream &operator<<(std::ostream &stream, QuarantineStatus status)
{
    return stream << static_cast<int>(status);
}

} // namespace rattanrill::policy

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTest)

// Guards against a third crash by the same request.
BOOST_AUTO_TEST_CASE(poisonRequestIsBlockedAfterTwoCrashes)
{
    Quarantine quarantine{QuarantineSettings{}};
    quarantine.crashed(start, "e1", {"poison", "a", "b"}, false);
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Suspect);
    quarantine.crashed(start + absl::Seconds(1), "e2", {"poison", "c"}, false);
    BOOST_TEST(quarantine.status(start + absl::Hours(1), "poison") == QuarantineStatus::Blocked);
}

// Guards against requests that stay suspects only because they ran alongside a poison request.
BOOST_AUTO_TEST_CASE(successClearsASuspect)
{
    Quarantine quarantine{QuarantineSettings{}};
    quarantine.crashed(start, "e1", {"poison", "innocent"}, false);
    BOOST_TEST(quarantine.status(start, "innocent") == QuarantineStatus::Suspect);
    quarantine.succeeded("innocent");
    BOOST_TEST(quarantine.status(start, "innocent") == QuarantineStatus::Allowed);
    quarantine.crashed(start + absl::Seconds(1), "e2", {"innocent"}, false);
    BOOST_TEST(quarantine.status(start + absl::Seconds(1), "innocent")
               == QuarantineStatus::Suspect);
}

// Guards against a request that stays a suspect without end, and against a request that ran alone
// on a crashed upstream and is cleared as early as one that ran alongside others.
BOOST_AUTO_TEST_CASE(suspicionEndsUnlessTheRequestRanAlone)
{
    const QuarantineSettings settings;
    Quarantine quarantine(settings);
    quarantine.crashed(start, "e1", {"a", "b"}, true);
    quarantine.crashed(start, "e2", {"single"}, true);
    const absl::Time after = start + settings.suspectTime + absl::Seconds(1);
    BOOST_TEST(quarantine.status(after, "a") == QuarantineStatus::Allowed);
    BOOST_TEST(quarantine.status(after, "single") == QuarantineStatus::Suspect);
}

// Guards against a crash that is counted twice, for example when the directory reports it too.
// Every request that ran on the upstream would be blocked.
BOOST_AUTO_TEST_CASE(crashOfTheSameUpstreamCountsOnce)
{
    Quarantine quarantine{QuarantineSettings{}};
    BOOST_TEST(quarantine.crashed(start, "e1", {"a"}, false).size() == 1U);
    BOOST_TEST(quarantine.crashed(start, "e1", {"a"}, false).empty());
    quarantine.applyRecord(start, "a", {"e1"}, false);
    BOOST_TEST(quarantine.status(start, "a") == QuarantineStatus::Suspect);
}

// Guards against an entry that ignores crashes recorded by other entries, and against a block that
// success removes or that an operator cannot release.
BOOST_AUTO_TEST_CASE(directoryRecordsBlockAndRelease)
{
    Quarantine quarantine{QuarantineSettings{}};
    quarantine.applyRecord(start, "poison", {"e1"}, false);
    quarantine.crashed(start, "e2", {"poison"}, false);
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Blocked);
    quarantine.succeeded("poison");
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Blocked);
    quarantine.applyRecord(start, "poison", {}, false);
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Allowed);
}

BOOST_AUTO_TEST_SUITE_END()
