#include "rattanrill/base/hash.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;

BOOST_AUTO_TEST_SUITE(HashTest)

// Guards against a change of the hash function or its seed, with which processes of two versions
// would choose different owners for the same key.
BOOST_AUTO_TEST_CASE(stableHashHasFixedValues)
{
    BOOST_TEST(stableHash("") == 0x2d06800538d394c2ULL);
    BOOST_TEST(sha256Hex("abc")
               == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against rendezvous hashing that also changes the owner of keys of the remaining members
// when one member leaves.
BOOST_AUTO_TEST_CASE(onlyKeysOfTheRemovedMemberChangeTheirOwner)
{
    const std::vector<std::string> before = {"a", "b", "c", "d"};
    const std::vector<std::string> after = {"a", "b", "d"};
    int movedKeys = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "workspace-" + std::to_string(i);
        const std::string &oldOwner = before[rendezvousOwner(key, before)];
        const std::string &newOwner = after[rendezvousOwner(key, after)];
        if (oldOwner != "c")
            BOOST_TEST(oldOwner == newOwner);
        else
            ++movedKeys;
    }
    BOOST_TEST(movedKeys > 180);
    BOOST_TEST(movedKeys < 320);
}

BOOST_AUTO_TEST_SUITE_END()
