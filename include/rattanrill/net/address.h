#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// Numeric IP address and TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "host:port", where the host is a numeric IP address. Fails with InvalidArgument.
Result<Address> parseAddress(std::string_view text);

std::string toString(const Address &address);

} // namespace rattanrill::net
