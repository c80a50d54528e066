#include "rattanrill/net/address.h"

#include "rattanrill/base/concat.h"

#include <charconv>

namespace rattanrill::net {

Result<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    Address address;
    if (colon != std::string_view::npos) {
        address.host = std::string(text.substr(0, colon));
        const std::string_view port = text.substr(colon + 1);
        const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
        const bool isWhole = parsed.ec == std::errc() && parsed.ptr == port.data() + port.size();
        if (isWhole && address.port != 0 && !address.host.empty())
            return address;
    }
    return fail(notRun(ErrorCode::InvalidArgument,
                       concat("\"", text, "\" is not of the form host:port")));
}

std::string toString(const Address &address)
{
    return concat(address.host, ":", address.port);
}

} // namespace rattanrill::net
