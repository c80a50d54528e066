#include "promptfile.h"

#include "rattanrill/base/concat.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace rattanrill::load {

Result<std::string> readTextFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return fail(notRun(ErrorCode::IoError,
                           concat("cannot read \"", file, "\": ", std::strerror(errno))));
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Result<std::vector<Json>> parseJsonLines(const std::string &text, const std::string &source)
{
    std::vector<Json> lines;
    std::istringstream stream(text);
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        if (line.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        BOOST_LEAF_AUTO(json, parseJson(line, concat(source, " line ", number)));
        if (!json.is_object())
            return fail(notRun(ErrorCode::InvalidRequest,
                               concat(source, " line ", number, " is not a JSON object")));
        lines.push_back(std::move(json));
    }
    return lines;
}

Result<std::vector<Json>> readJsonLines(const std::string &file)
{
    BOOST_LEAF_AUTO(text, readTextFile(file));
    return parseJsonLines(text, file);
}

} // namespace rattanrill::load
