#include "recordvalidation.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "rattanrill/directory/pathprefix.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace rattanrill::directory {
namespace {

constexpr std::size_t sha256HexDigits = 64;
constexpr std::int64_t maxPort = 65535;
/// Tolerance for the sum of the shares, because operators round the fractions.
constexpr double shareTolerance = 1e-6;

/// Paths that the entry instance serves itself; routes must not use them.
constexpr std::array<std::string_view, 4> reservedPaths = {"/v1/", "/healthz", "/readyz",
                                                           "/metrics"};

boost::leaf::error_id invalid(std::string_view field, std::string_view reason)
{
    return fail(notRun(ErrorCode::InvalidRequest, concat("\"", field, "\" ", reason)));
}

bool isControlCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < 0x20 || byte == 0x7f;
}

bool isLowerHexDigit(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

bool isPathCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte > 0x20 && byte < 0x7f
           && std::string_view("?#%\\").find(character) == std::string_view::npos;
}

Result<void> validateAmount(std::string_view field, double value)
{
    if (!std::isfinite(value) || value < 0)
        return invalid(field, "must be a finite number of at least 0");
    return {};
}

Result<void> validateShares(const wire::Contract &contract)
{
    double sum = 0;
    for (const auto &[region, share] : contract.regionShares) {
        BOOST_LEAF_CHECK(validateName("region_shares", region));
        BOOST_LEAF_CHECK(validateAmount("region_shares", share));
        sum += share;
    }
    if (sum > 1 + shareTolerance)
        return invalid("region_shares", "must not add up to more than 1");
    return {};
}

Result<void> validateAddress(std::string_view field, std::string_view address)
{
    BOOST_LEAF_CHECK(validateName(field, address));
    const std::size_t colon = address.rfind(':');
    const bool complete =
            colon != std::string_view::npos && colon > 0 && colon + 1 < address.size();
    if (!complete)
        return invalid(field, "must be host:port");
    return {};
}

/// Whether one of \a prefix and \a reservedPath begins with the other. Such a route is refused,
/// because it could hide the reserved path.
bool shadows(std::string_view prefix, std::string_view reservedPath)
{
    const std::string_view base = withoutTrailingSlash(prefix);
    if (reservedPath.substr(0, base.size()) == base)
        return true;
    return matchesPrefix(base, reservedPath);
}

Result<void> validatePathPrefix(std::string_view prefix)
{
    if (prefix.empty() || prefix.front() != '/' || prefix.size() > maxPathBytes)
        return invalid("path_prefix", "must start with \"/\" and have at most 1024 bytes");
    if (!std::all_of(prefix.begin(), prefix.end(), isPathCharacter))
        return invalid("path_prefix", "must be printable ASCII without ? # % \\ and spaces");
    const bool ambiguous = prefix.find("//") != std::string_view::npos
                           || prefix.find("/.") != std::string_view::npos;
    if (ambiguous)
        return invalid("path_prefix", "must not contain \"//\" or \"/.\"");
    for (const std::string_view reservedPath : reservedPaths) {
        if (shadows(prefix, reservedPath))
            return invalid("path_prefix", concat("must not shadow \"", reservedPath, "\""));
    }
    return {};
}

} // namespace

Result<void> validateName(std::string_view field, std::string_view value)
{
    if (value.empty() || value.size() > maxNameBytes)
        return invalid(field, concat("must have 1 to ", maxNameBytes, " bytes"));
    if (std::any_of(value.begin(), value.end(), isControlCharacter))
        return invalid(field, "must not contain control characters");
    return {};
}

Result<void> validate(const wire::Contract &contract)
{
    BOOST_LEAF_CHECK(validateName("workspace", contract.workspace));
    BOOST_LEAF_CHECK(validateAmount("rate_per_second", contract.ratePerSecond));
    BOOST_LEAF_CHECK(validateAmount("burst", contract.burst));
    BOOST_LEAF_CHECK(validateAmount("batch_share", contract.batchShare));
    BOOST_LEAF_CHECK(validateShares(contract));
    if (contract.retentionSeconds < 0 || contract.retentionSeconds > maxRetentionSeconds)
        return invalid("retention_seconds", "must be from 0 to one year");
    return {};
}

Result<void> validate(const wire::ApiKey &key)
{
    BOOST_LEAF_CHECK(validateName("key_id", key.keyId));
    BOOST_LEAF_CHECK(validateName("workspace", key.workspace));
    const bool isHash = key.hash.size() == sha256HexDigits
                        && std::all_of(key.hash.begin(), key.hash.end(), isLowerHexDigit);
    if (!isHash)
        return invalid("hash", "must be 64 lower-case hexadecimal digits");
    return {};
}

Result<void> validate(const wire::Config &config)
{
    BOOST_LEAF_CHECK(validateName("name", config.name));
    if (config.value.size() > maxConfigBytes)
        return invalid("value", concat("must have at most ", maxConfigBytes, " bytes"));
    BOOST_LEAF_CHECK(parseJson(config.value, "\"value\""));
    return {};
}

Result<void> validate(const wire::Route &route)
{
    BOOST_LEAF_CHECK(validateName("name", route.name));
    BOOST_LEAF_CHECK(validateName("service", route.service));
    return validatePathPrefix(route.pathPrefix);
}

Result<void> validate(const wire::Upstream &upstream)
{
    BOOST_LEAF_CHECK(validateName("name", upstream.name));
    BOOST_LEAF_CHECK(validateName("serves", upstream.serves));
    BOOST_LEAF_CHECK(validateName("host", upstream.host));
    BOOST_LEAF_CHECK(validateName("failure_domain", upstream.failureDomain));
    if (upstream.port < 1 || upstream.port > maxPort)
        return invalid("port", "must be from 1 to 65535");
    return {};
}

Result<void> validate(const wire::Member &member)
{
    BOOST_LEAF_CHECK(validateName("instance", member.instance));
    BOOST_LEAF_CHECK(validateName("failure_domain", member.failureDomain));
    BOOST_LEAF_CHECK(validateName("incarnation", member.incarnation));
    BOOST_LEAF_CHECK(validateAddress("peer_address", member.peerAddress));
    return validateAddress("http_address", member.httpAddress);
}

Result<void> validate(const wire::ReportCrash &report)
{
    BOOST_LEAF_CHECK(validateName("fingerprint", report.fingerprint));
    BOOST_LEAF_CHECK(validateName("upstream", report.upstream));
    if (report.holdMs < 1 || report.holdMs > maxRetentionSeconds * 1000)
        return invalid("hold_ms", "must be from 1 ms to one year");
    return {};
}

} // namespace rattanrill::directory
