#include "rattanrill/base/processmemory.h"

#include <fstream>
#include <unistd.h>

namespace rattanrill {

std::int64_t residentBytes()
{
    std::ifstream pages("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    if (!(pages >> total >> resident))
        return 0;
    return resident * ::sysconf(_SC_PAGESIZE);
}

} // namespace rattanrill
