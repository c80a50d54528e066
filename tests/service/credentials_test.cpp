#include "rattanrill/service/credentials.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::service {

BOOST_AUTO_TEST_SUITE(CredentialsTest)

// R5: guards against a credential that is forwarded to a service in the query, under any spelling
// of its name or percent-encoded.
BOOST_AUTO_TEST_CASE(credentialsAreRemovedFromTheQuery)
{
    BOOST_TEST(stripCredentials("a=1&api_key=x&b=2", "k") == "a=1&b=2");
    BOOST_TEST(stripCredentials("X-API-Key=x&access%5ftoken=y&Token=z", "k").empty());
    BOOST_TEST(stripCredentials("note=sk-secret&n=sk%2Dsecret&m=%73k-secret&c=3", "sk-secret")
               == "c=3");
    BOOST_TEST(stripCredentials("a=1&&b", "") == "a=1&b");
}

// Guards against parameters that are removed although they carry no credential.
BOOST_AUTO_TEST_CASE(otherParametersAreUnchanged)
{
    BOOST_TEST(stripCredentials("keys=1&tokens=2&q=a%20b+c", "k-9") == "keys=1&tokens=2&q=a%20b+c");
    BOOST_TEST(!containsApiKey("anything", ""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::service
