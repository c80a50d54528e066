#include "rattanrill/base/json.h"

#include "rattanrill/base/concat.h"

#include <algorithm>

namespace rattanrill {
namespace {

template <typename T>
struct JsonType;

template <>
struct JsonType<std::string>
{
    static constexpr std::string_view name = "a string";
    static bool matches(const Json &json) { return json.is_string(); }
};

template <>
struct JsonType<std::int64_t>
{
    static constexpr std::string_view name = "an integer";
    static bool matches(const Json &json) { return json.is_number_integer(); }
};

template <>
struct JsonType<double>
{
    static constexpr std::string_view name = "a number";
    static bool matches(const Json &json) { return json.is_number(); }
};

template <>
struct JsonType<bool>
{
    static constexpr std::string_view name = "true or false";
    static bool matches(const Json &json) { return json.is_boolean(); }
};

template <typename T>
Result<T> convert(const Json &value, std::string_view key)
{
    if (!JsonType<T>::matches(value))
        return fail(notRun(ErrorCode::InvalidRequest,
                           concat("\"", key, "\" must be ", JsonType<T>::name)));
    return value.get<T>();
}

/// What a text holds, by its characters outside strings.
struct JsonExtent
{
    /// Number of arrays and objects that are open inside each other.
    std::size_t depth = 0;
    /// Number of values and member names. An empty array or object counts as two.
    std::size_t values = 1;
};

JsonExtent extentOf(std::string_view text)
{
    JsonExtent extent;
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"')
            isInString = !isInString;
        else if (isInString)
            i += c == '\\' ? 1 : 0;
        else if (c == '[' || c == '{')
            extent.depth = std::max(extent.depth, ++depth);
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
        const bool beginsValue = !isInString && (c == '[' || c == '{' || c == ',' || c == ':');
        extent.values += beginsValue ? 1 : 0;
    }
    return extent;
}

} // namespace

Result<Json> parseJson(std::string_view text, std::string_view what, std::size_t maxValues)
{
    const JsonExtent extent = extentOf(text);
    if (extent.depth > maxJsonDepth)
        return fail(notRun(ErrorCode::InvalidRequest,
                           concat(what, " has more than ", maxJsonDepth, " nested levels")));
    if (extent.values > maxValues)
        return fail(notRun(ErrorCode::InvalidRequest,
                           concat(what, " has more than ", maxValues, " values")));
    try {
        return Json::parse(text);
    } catch (const Json::parse_error &error) {
        return fail(notRun(ErrorCode::InvalidRequest,
                           concat(what, " is not valid JSON at byte ", error.byte)));
    } catch (const Json::out_of_range &) {
        return fail(notRun(ErrorCode::InvalidRequest, concat(what, " has a number too large")));
    }
}

template <typename T>
Result<T> jsonMember(const Json &object, std::string_view key)
{
    if (!object.is_object())
        return fail(
                notRun(ErrorCode::InvalidRequest, concat("expected an object with \"", key, "\"")));
    const auto member = object.find(std::string(key));
    if (member == object.end())
        return fail(notRun(ErrorCode::InvalidRequest, concat("\"", key, "\" is missing")));
    return convert<T>(*member, key);
}

template <typename T>
Result<T> jsonMemberOr(const Json &object, std::string_view key, T fallback)
{
    if (!object.is_object())
        return fail(
                notRun(ErrorCode::InvalidRequest, concat("expected an object with \"", key, "\"")));
    const auto member = object.find(std::string(key));
    if (member == object.end() || member->is_null())
        return fallback;
    return convert<T>(*member, key);
}

template Result<std::string> jsonMember(const Json &, std::string_view);
template Result<std::int64_t> jsonMember(const Json &, std::string_view);
template Result<double> jsonMember(const Json &, std::string_view);
template Result<bool> jsonMember(const Json &, std::string_view);
template Result<std::string> jsonMemberOr(const Json &, std::string_view, std::string);
template Result<std::int64_t> jsonMemberOr(const Json &, std::string_view, std::int64_t);
template Result<double> jsonMemberOr(const Json &, std::string_view, double);
template Result<bool> jsonMemberOr(const Json &, std::string_view, bool);

std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace rattanrill
