#include "exposition.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace rattanrill::report {
namespace {

/// Parses one line. Each function consumes what it has parsed from the start of m_rest.
class LineParser
{
public:
    explicit LineParser(std::string_view line)
        : m_rest(line)
    {}

    bool parse(Sample &sample);

private:
    bool consume(char expected);
    std::string_view consumeUntil(std::string_view delimiters);
    bool parseLabels(Labels &labels);
    bool parseQuoted(std::string &value);
    bool parseValue(double &value);

    std::string_view m_rest;
};

bool LineParser::parse(Sample &sample)
{
    sample.name = std::string(consumeUntil("{ "));
    if (sample.name.empty())
        return false;
    if (consume('{') && !parseLabels(sample.labels))
        return false;
    return consume(' ') && parseValue(sample.value);
}

bool LineParser::consume(char expected)
{
    if (m_rest.empty() || m_rest.front() != expected)
        return false;
    m_rest.remove_prefix(1);
    return true;
}

std::string_view LineParser::consumeUntil(std::string_view delimiters)
{
    const std::size_t end = std::min(m_rest.find_first_of(delimiters), m_rest.size());
    const std::string_view consumed = m_rest.substr(0, end);
    m_rest.remove_prefix(end);
    return consumed;
}

bool LineParser::parseLabels(Labels &labels)
{
    while (!consume('}')) {
        const std::string key(consumeUntil("="));
        if (key.empty() || !consume('=') || !consume('"') || !parseQuoted(labels[key]))
            return false;
        consume(',');
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
    const std::string text(consumeUntil(" "));
    char *end = nullptr;
    value = std::strtod(text.c_str(), &end);
    return !text.empty() && end == text.c_str() + text.size();
}

bool isSkipped(std::string_view line)
{
    return line.empty() || line.front() == '#';
}

std::string_view withoutCarriageReturn(std::string_view line)
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

} // namespace

Result<std::vector<Sample>> parseExposition(std::string_view text, const std::string &source)
{
    std::vector<Sample> samples;
    for (int number = 1; !text.empty(); ++number) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = withoutCarriageReturn(text.substr(0, end));
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
