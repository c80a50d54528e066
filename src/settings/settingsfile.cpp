#include "rattanrill/settings/settingsfile.h"

#include "rattanrill/base/concat.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace rattanrill {
namespace {

/// Path of a setting and its value.
struct Location
{
    std::string path;
    std::string value;
};

/// Removes the brackets from an element of a valijson error context.
std::string unbracketed(const std::string &pathElement)
{
    if (pathElement.size() >= 2 && pathElement.front() == '[' && pathElement.back() == ']')
        return pathElement.substr(1, pathElement.size() - 2);
    return pathElement;
}

const Json *child(const Json &parent, const std::string &pathElement)
{
    if (parent.is_object()) {
        const auto member = parent.find(pathElement);
        return member == parent.end() ? nullptr : &*member;
    }
    if (parent.is_array()) {
        const std::size_t index = std::strtoul(pathElement.c_str(), nullptr, 10);
        return index < parent.size() ? &parent[index] : nullptr;
    }
    return nullptr;
}

/// Returns the schema of the object member or array element \a pathElement, which \a schema
/// contains under "properties" or "items", or null if there is none.
const Json *childSchema(const Json *schema, const std::string &pathElement)
{
    if (schema == nullptr)
        return nullptr;
    if (schema->contains("properties"))
        return child(schema->at("properties"), pathElement);
    if (schema->contains("items"))
        return &schema->at("items");
    return nullptr;
}

std::string allowedKeys(const Json &schema)
{
    std::string keys;
    for (const auto &[key, unused] : schema.at("properties").items()) {
        keys += keys.empty() ? "" : ", ";
        keys += key;
    }
    return "known keys: " + keys;
}

std::string allowedValue(const Json *schema)
{
    if (schema == nullptr)
        return "a known key";
    Json constraints = *schema;
    constraints.erase("description");
    constraints.erase("default");
    if (constraints.contains("properties")) {
        const std::string required = constraints.contains("required")
                                             ? "; required: " + dumpJson(constraints.at("required"))
                                             : "";
        return allowedKeys(constraints) + required;
    }
    return dumpJson(constraints);
}

/// Converts an error of valijson to a failure. The context of the error lists the path to the value
/// as "<root>", "[key]" and "[index]". The caller passes the first error, because valijson reports
/// the errors of a nested value before those of the values that contain it.
Failure describeError(const std::vector<std::string> &context, const Json &settings,
                      const Json &schemaJson, const std::string &source,
                      const std::string &description)
{
    const Json *value = &settings;
    const Json *schema = &schemaJson;
    std::string path;
    for (const std::string &contextElement : context) {
        if (contextElement == "<root>")
            continue;
        const std::string pathElement = unbracketed(contextElement);
        path += (path.empty() ? "" : ".") + pathElement;
        schema = childSchema(schema, pathElement);
        if (value != nullptr)
            value = child(*value, pathElement);
    }
    const bool isLeaf = value != nullptr && !value->is_object();
    const std::string valueText = isLeaf ? concat(" is ", dumpJson(*value)) : std::string();
    return notRun(ErrorCode::InvalidSetting,
                  concat(source, ": \"", path.empty() ? "(top level)" : path, "\"", valueText, ": ",
                         description, " Allowed: ", allowedValue(schema)));
}

Result<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream)
        return fail(notRun(ErrorCode::InvalidSetting, concat("cannot read settings file \"", file,
                                                             "\": ", std::strerror(errno))));
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

Result<Json> parseSettings(std::string_view text, const std::string &source,
                           std::string_view schemaText)
{
    const auto parsed = outcomeOf([&] { return parseJson(text, source); });
    if (!parsed.ok())
        return fail(notRun(ErrorCode::InvalidSetting, parsed.failure().detail));
    const Json &settings = parsed.value();
    const Json schemaJson = Json::parse(schemaText);

    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaJson), schema);
    valijson::Validator validator;
    valijson::ValidationResults errors;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(settings), &errors))
        return settings;
    valijson::ValidationResults::Error error;
    errors.popError(error);
    return fail(describeError(error.context, settings, schemaJson, source, error.description));
}

Result<Json> loadSettings(const std::string &file, std::string_view schemaText)
{
    BOOST_LEAF_AUTO(text, readFile(file));
    return parseSettings(text, file, schemaText);
}

Failure settingFailure(const std::string &source, std::string_view keyPath,
                       std::string_view allowed)
{
    return notRun(
            ErrorCode::InvalidSetting,
            concat(source, ": \"", keyPath, "\" contradicts other settings. Allowed: ", allowed));
}

} // namespace rattanrill
