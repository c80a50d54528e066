#include "exposition.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace rattanrill::report {
namespace {

/// Reads one line from left to right.
class LineParser
{
public:
    explicit LineParser(std::string_view line)
        : m_rest(line)
    {}

    bool parse(Sample &sample);

private:
    bool take(char expected);
    std::string_view takeUntil(std::string_view stops);
    bool parseLabels(Labels &labels);
    bool parseQuoted(std::string &value);
    bool parseValue(double &value);

    std::string_view m_rest;
};

bool LineParser::parse(Sample &sample)
{
    sample.name = std::string(takeUntil("{ "));
    if (sample.name.empty())
        return false;
    if (take('{') && !parseLabels(sample.labels))
        return false;
    return take(' ') && parseValue(sample.value);
}

bool LineParser::take(char expected)
{
    if (m_rest.empty() || m_rest.front() != expected)
        return false;
    m_rest.remove_prefix(1);
    return true;
}

std::string_view LineParser::takeUntil(std::string_view stops)
{
    const std::size_t end = std::min(m_rest.find_first_of(stops), m_rest.size());
    const std::string_view taken = m_rest.substr(0, end);
    m_rest.remove_prefix(end);
    return taken;
}

bool LineParser::parseLabels(Labels &labels)
{
    while (!take('}')) {
        const std::string key(takeUntil("="));
        if (key.empty() || !take('=') || !take('"') || !parseQuoted(labels[key]))
            return false;
        take(',');
    }
    return true;
}

bool LineParser::parseQuoted(std::string &value)
{
    while (!m_rest.empty()) {
        char next = m_rest.front();
        m_rest.remove_prefix(1);
        if (next == '"')
            return true;
        if (next == '\\' && !m_rest.empty()) {
            next = m_rest.front() == 'n' ? '\n' : m_rest.front();
            m_rest.remove_prefix(1);
        }
        value += next;
    }
    return false;
}

bool LineParser::parseValue(double &value)
{
    const std::string text(takeUntil(" "));
    char *end = nullptr;
    value = std::strtod(text.c_str(), &end);
    return !text.empty() && end == text.c_str() + text.size();
}

bool isSkipped(std::string_view line)
{
    return line.empty() || line.front() == '#';
}

std::string_view withoutReturn(std::string_view line)
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

} // namespace

Result<std::vector<Sample>> parseExposition(std::string_view text, const std::string &source)
{
    std::vector<Sample> samples;
    for (int number = 1; !text.empty(); ++number) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = withoutReturn(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (isSkipped(line))
            continue;
        Sample sample;
        if (!LineParser(line).parse(sample))
            return fail(notRun(ErrorCode::MalformedMessage,
                               concat(source, " line ", number, " is not a metric: \"",
                                      line.substr(0, 80), "\"")));
        samples.push_back(std::move(sample));
    }
    return samples;
}

} // namespace rattanrill::report
