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
BOOST_AUTO_TEST_CASE(poisonIsHeldAfterTwoCrashes)
{
    Quarantine quarantine{QuarantineSettings{}};
    quarantine.crashed(start, "e1", {"poison", "a", "b"}, false);
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Suspect);
    quarantine.crashed(start + absl::Seconds(1), "e2", {"poison", "c"}, false);
    BOOST_TEST(quarantine.status(start + absl::Hours(1), "poison") == QuarantineStatus::Blocked);
}

// Guards against innocent requests that stay suspects because they ran beside a poison request.
BOOST_AUTO_TEST_CASE(successClearsTheInnocent)
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

// Guards against suspicion without end, and against forgetting the only request that ran.
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

// Guards against counting one crash twice, which would hold every request that ran there.
BOOST_AUTO_TEST_CASE(sameUpstreamCountsOnce)
{
    Quarantine quarantine{QuarantineSettings{}};
    BOOST_TEST(quarantine.crashed(start, "e1", {"a"}, false).size() == 1U);
    BOOST_TEST(quarantine.crashed(start, "e1", {"a"}, false).empty());
    quarantine.setRecord(start, "a", {"e1"}, false);
    BOOST_TEST(quarantine.status(start, "a") == QuarantineStatus::Suspect);
}

// Guards against an entry that runs what another one saw crash, and against a hold that an
// operator cannot release.
BOOST_AUTO_TEST_CASE(recordsOfTheDirectoryHoldAndRelease)
{
    Quarantine quarantine{QuarantineSettings{}};
    quarantine.setRecord(start, "poison", {"e1"}, false);
    quarantine.crashed(start, "e2", {"poison"}, false);
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Blocked);
    quarantine.succeeded("poison");
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Blocked);
    quarantine.setRecord(start, "poison", {}, false);
    BOOST_TEST(quarantine.status(start, "poison") == QuarantineStatus::Allowed);
}

BOOST_AUTO_TEST_SUITE_END()
