// Compiles Boost.URL into this library: the package of the Boost headers has its sources, while its
// binary would need a further package.
#include <boost/url/src.hpp>
