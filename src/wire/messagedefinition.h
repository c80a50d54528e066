#pragma once

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "rattanrill/wire/codec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <stdexcept>
#include <variant>

/// Definitions of the templates that codec.h declares. Each source file of this library
/// instantiates them for its own messages.
namespace rattanrill::wire {

template <typename Message>
std::string encode(const Message &message)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(Json(message));
    return std::string(bytes.begin(), bytes.end());
}

template <typename Message>
Result<Message> decode(std::string_view bytes)
{
    try {
        return Json::from_cbor(bytes.begin(), bytes.end()).template get<Message>();
    } catch (const Json::exception &error) {
        return fail(notRun(ErrorCode::MalformedMessage, error.what()));
    }
}

template <typename Message>
std::string toJsonText(const Message &message)
{
    return dumpJson(Json(message));
}

template <typename Message>
Result<Message> fromJsonText(std::string_view text)
{
    try {
        return Json::parse(text).template get<Message>();
    } catch (const Json::exception &error) {
        return fail(notRun(ErrorCode::InvalidRequest, error.what()));
    }
}

/// Throws the exception type of the JSON library, which decode() and fromJsonText() convert to a
/// Failure. 302 is the library's error id for a JSON value of an unsuitable type.
[[noreturn]] inline void throwConversionError(const std::string &text, const Json &json)
{
    throw Json::type_error::create(302, text, &json);
}

template <std::size_t Index = 0, typename... Alternatives>
void decodeAlternative(const Json &json, const std::string &kind,
                       std::variant<Alternatives...> &value)
{
    if constexpr (Index == sizeof...(Alternatives)) {
        throwConversionError(concat("unknown kind \"", kind, "\""), json);
    } else {
        using Alternative = std::variant_alternative_t<Index, std::variant<Alternatives...>>;
        if (kind == Alternative::kind)
            value = json.at("value").template get<Alternative>();
        else
            decodeAlternative<Index + 1>(json, kind, value);
    }
}

} // namespace rattanrill::wire

namespace nlohmann {

/// A variant is encoded as {"kind": name of the alternative, "value": {...}}.
template <typename... Alternatives>
struct adl_serializer<std::variant<Alternatives...>>
{
    static void to_json(json &target, const std::variant<Alternatives...> &value)
    {
        std::visit(
                [&target](const auto &alternative) {
                    using Alternative = std::decay_t<decltype(alternative)>;
                    target = json{{"kind", Alternative::kind}, {"value", alternative}};
                },
                value);
    }

    static void from_json(const json &source, std::variant<Alternatives...> &value)
    {
        rattanrill::wire::decodeAlternative(source, source.at("kind").get<std::string>(), value);
    }
};

} // namespace nlohmann

/// Defines the JSON conversions of a struct from the list of its members.
#define RATTANRILL_WIRE_FIELDS(Type, ...) \
    NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Type, __VA_ARGS__)

/// Defines the JSON conversions of a struct without members.
#define RATTANRILL_WIRE_EMPTY(Type) \
    void to_json(Json &json, const Type &) \
    { \
        json = Json::object(); \
    } \
    void from_json(const Json &, Type &) {}

/// Defines the JSON conversions of an enum from its table of names.
#define RATTANRILL_WIRE_ENUM(Type, table) \
    void to_json(Json &json, Type value) \
    { \
        json = std::string(nameOf(table, value)); \
    } \
    void from_json(const Json &json, Type &value) \
    { \
        const std::optional<Type> found = valueOf(table, json.get<std::string>()); \
        if (!found) \
            throwConversionError("unknown " #Type, json); \
        value = *found; \
    }

/// Instantiates the templates of codec.h for a message.
#define RATTANRILL_WIRE_MESSAGE(Type) \
    template std::string encode(const Type &); \
    template Result<Type> decode(std::string_view); \
    template std::string toJsonText(const Type &); \
    template Result<Type> fromJsonText(std::string_view);
