#include "rattanrill/service/credentials.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::service {

BOOST_AUTO_TEST_SUITE(Credentials)

// R5: guards against a key that reaches a service in the query.
BOOST_AUTO_TEST_CASE(credentialsLeaveTheQuery)
{
    BOOST_TEST(stripCredentials("a=1&api_key=x&b=2", "k") == "a=1&b=2");
    BOOST_TEST(stripCredentials("X-API-Key=x&access%5ftoken=y&Token=z", "k").empty());
    BOOST_TEST(stripCredentials("note=sk-secret&n=sk%2Dsecret&m=%73k-secret&c=3", "sk-secret")
               == "c=3");
    BOOST_TEST(stripCredentials("a=1&&b", "") == "a=1&b");
}

// Guards against parameters that are dropped without need.
BOOST_AUTO_TEST_CASE(otherParametersStayAsSent)
{
    BOOST_TEST(stripCredentials("keys=1&tokens=2&q=a%20b+c", "k-9") == "keys=1&tokens=2&q=a%20b+c");
    BOOST_TEST(!containsApiKey("anything", ""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::service
