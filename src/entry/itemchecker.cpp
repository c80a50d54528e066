#include "itemchecker.h"

#include "completionrequest.h"
#include "utf8.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/json.h"
#include "rattanrill/service/credentials.h"

namespace rattanrill::entry {
namespace {

/// Seed for the second half of the 128-bit hash of a custom_id.
constexpr std::uint64_t secondHashSeed = 0x9E3779B97F4A7C15u;

boost::leaf::error_id invalid(std::string detail)
{
    return fail(notRun(ErrorCode::InvalidItem, std::move(detail)));
}

bool isBlank(std::string_view line)
{
    return line.find_first_not_of(" \t") == std::string_view::npos;
}

Failure withLineNumber(std::size_t number, const Failure &failure)
{
    const ErrorCode code =
            failure.code == ErrorCode::DuplicateItem ? failure.code : ErrorCode::InvalidItem;
    return notRun(code, concat("line ", number, ": ", failure.detail));
}

} // namespace

ItemChecker::ItemChecker(ModelCheck isServed, std::size_t maxItems, std::string key)
    : m_isServed(std::move(isServed))
    , m_maxItems(maxItems)
    , m_key(std::move(key))
{}

Result<wire::ItemSpec> ItemChecker::parse(std::string_view line) const
{
    if (!isValidUtf8(line))
        return invalid("the text is not valid UTF-8");
    BOOST_LEAF_AUTO(json, parseJson(line, "the item"));
    if (!json.is_object())
        return invalid("the item is not a JSON object");
    wire::ItemSpec item;
    BOOST_LEAF_ASSIGN(item.customId, jsonMember<std::string>(json, "custom_id"));
    if (item.customId.empty())
        return invalid("\"custom_id\" is empty");
    BOOST_LEAF_AUTO(method, jsonMemberOr<std::string>(json, "method", "POST"));
    if (method != "POST")
        return invalid(concat("method \"", method, "\" is not supported, only POST"));
    BOOST_LEAF_ASSIGN(item.url, jsonMember<std::string>(json, "url"));
    if (item.url != completionsPath && item.url != chatPath)
        return invalid(concat("url \"", item.url, "\" is not supported"));
    if (!json.contains("body") || !json.at("body").is_object())
        return invalid("\"body\" must be an object");
    BOOST_LEAF_AUTO(model, jsonMember<std::string>(json.at("body"), "model"));
    if (!m_isServed(model))
        return invalid(concat("no engine serves model \"", model, "\""));
    item.body = dumpJson(json.at("body"));
    if (service::containsApiKey(item.body, m_key))
        return invalid("the body contains the API key");
    return item;
}

Outcome<std::optional<wire::ItemSpec>> ItemChecker::check(std::size_t number, std::string_view line)
{
    if (isBlank(line))
        return std::optional<wire::ItemSpec>();
    const Outcome<wire::ItemSpec> item = outcomeOf([&] { return parse(line); });
    if (!item.ok())
        return withLineNumber(number, item.failure());
    const std::string &customId = item.value().customId;
    if (!m_customIds.insert({stableHash(customId), stableHash(customId, secondHashSeed)}).second)
        return withLineNumber(number, notRun(ErrorCode::DuplicateItem,
                                             concat("custom_id \"", customId, "\" is used twice")));
    if (m_customIds.size() > m_maxItems)
        return withLineNumber(number, notRun(ErrorCode::InvalidItem,
                                             concat("a file has at most ", m_maxItems, " items")));
    return std::optional<wire::ItemSpec>(item.value());
}

} // namespace rattanrill::entry
