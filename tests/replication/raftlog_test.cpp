#include "raftlog.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill::replication;

namespace {

/// A log after index 10 with four entries of 1000 bytes of data.
RaftLog makeLog()
{
    RaftLog log(10, 1, Membership(), {});
    for (std::uint64_t index = 11; index <= 14; ++index) {
        Entry entry;
        entry.index = index;
        entry.term = 1;
        entry.kind = EntryKind::Command;
        entry.data = std::string(1000, 'd');
        log.append(std::move(entry));
    }
    return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RaftLogTest)

// Guards against a replica whose memory is exceeded by the entries that it keeps before a snapshot:
// their number alone says nothing, as an entry can hold a whole job.
BOOST_AUTO_TEST_CASE(retainedEntriesAreLimitedByNumberAndBytes)
{
    const RaftLog log = makeLog();
    constexpr std::uint64_t many = 1000;
    constexpr std::uint64_t manyBytes = 1 << 20;
    BOOST_TEST(log.firstIndexWithin(14, many, manyBytes) == 11u);
    BOOST_TEST(log.firstIndexWithin(14, 2, manyBytes) == 13u);
    BOOST_TEST(log.firstIndexWithin(14, many, 2500) == 13u);
    BOOST_TEST(log.firstIndexWithin(13, many, 1500) == 13u);
    BOOST_TEST(log.firstIndexWithin(14, many, 500) == 15u);
    BOOST_TEST(log.firstIndexWithin(14, 0, manyBytes) == 15u);
    BOOST_TEST(log.firstIndexWithin(10, many, manyBytes) == 11u);
}

BOOST_AUTO_TEST_SUITE_END()
