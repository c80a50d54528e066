#include "keyauthenticator.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::entry {
namespace {

constexpr std::string_view bearerScheme = "bearer ";

/// Bearer token of an Authorization header; empty for another scheme.
std::string_view bearerToken(std::string_view header)
{
    if (header.size() <= bearerScheme.size())
        return {};
    for (std::size_t i = 0; i < bearerScheme.size(); ++i) {
        if (std::tolower(static_cast<unsigned char>(header[i])) != bearerScheme[i])
            return {};
    }
    header.remove_prefix(bearerScheme.size());
    while (!header.empty() && header.front() == ' ')
        header.remove_prefix(1);
    while (!header.empty() && header.back() == ' ')
        header.remove_suffix(1);
    return header;
}

bool isValid(const directory::DirectoryView &view, const wire::ApiKey &key)
{
    if (key.withdrawn)
        return false;
    const auto contract = view.contract(key.workspace);
    return contract && !contract->withdrawn;
}

} // namespace

KeyAuthenticator::KeyAuthenticator(const directory::DirectorySubscriber &directory,
                                   absl::Duration keyFreshness, absl::Duration staleStreamLimit)
    : m_directory(directory)
    , m_keyFreshness(keyFreshness)
    , m_staleStreamLimit(staleStreamLimit)
{}

Outcome<Caller> KeyAuthenticator::authenticate(std::string_view authorization) const
{
    const std::string_view token = bearerToken(authorization);
    if (token.empty())
        return notRun(ErrorCode::MissingKey,
                      "the request has no \"Authorization: Bearer\" header with a key");
    // The age is read before the view: if a new view arrives in between, it is younger than this
    // age.
    const absl::Duration age = m_directory.viewAge();
    if (age > m_keyFreshness)
        return notRun(ErrorCode::KeysNotFresh,
                      "this instance cannot currently verify that the key is still valid");
    const auto view = m_directory.view();
    const std::string hash = sha256Hex(token);
    const auto key = view->apiKeyByHash(hash);
    if (!key)
        return notRun(ErrorCode::InvalidKey, "the key is unknown");
    if (!isValid(*view, *key))
        return notRun(ErrorCode::KeyRevoked, "the key or its workspace's contract is withdrawn");
    return Caller{key->workspace, hash, std::string(token)};
}

std::optional<Failure> KeyAuthenticator::revoked(const Caller &caller) const
{
    if (caller.keyHash.empty())
        return std::nullopt;
    const absl::Duration age = m_directory.viewAge();
    const auto view = m_directory.view();
    const auto key = view->apiKeyByHash(caller.keyHash);
    if (!key || !isValid(*view, *key))
        return mayHaveRun(ErrorCode::KeyRevoked, "the key was withdrawn while the request ran");
    if (age > m_keyFreshness + m_staleStreamLimit)
        return mayHaveRun(ErrorCode::KeysNotFresh,
                          "this instance could not confirm the key for too long");
    return std::nullopt;
}

} // namespace rattanrill::entry
