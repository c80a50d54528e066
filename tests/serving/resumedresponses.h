#pragma once

#include <cstdio>
#include <string>

namespace rattanrill::serving {

inline std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline const std::string lastChunk = "0\r\n\r\n";

inline std::string numberedEvent(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

} // namespace rattanrill::serving
