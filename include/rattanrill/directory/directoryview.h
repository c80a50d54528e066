#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/directory/recordlist.h"
#include "rattanrill/directory/recordtable.h"
#include "rattanrill/wire/directorymessages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::directory {

/// Immutable copy of the directory at one revision. Copies are cheap because they share their
/// records. A default-constructed view is empty and has revision 0. Lookups return null for a
/// missing record.
class DirectoryView
{
public:
    std::uint64_t revision() const { return m_revision; }
    /// Revision of the last change to the members. Entry instances whose views have the same member
    /// revision compute the same owners.
    std::uint64_t memberRevision() const { return m_memberRevision; }

    /// Contract of \a workspace; it may be withdrawn.
    std::shared_ptr<const wire::Contract> contract(std::string_view workspace) const;
    /// API key whose hexadecimal SHA-256 is \a hash; it may be withdrawn.
    std::shared_ptr<const wire::ApiKey> apiKeyByHash(std::string_view hash) const;
    std::shared_ptr<const wire::Config> config(std::string_view name) const;
    /// Route with the longest prefix of \a path (without query); prefixes match whole segments
    /// only.
    std::shared_ptr<const wire::Route> route(std::string_view path) const;
    std::shared_ptr<const wire::Upstream> upstream(std::string_view name) const;
    std::shared_ptr<const wire::Member> member(std::string_view instance) const;
    /// Record of the request \a fingerprint if it is quarantined, that is must not run, at \a nowMs
    /// (wall clock, milliseconds since 1970); null otherwise.
    std::shared_ptr<const wire::QuarantinedRequest> quarantinedRequest(std::string_view fingerprint,
                                                                       std::int64_t nowMs) const;
    /// Highest fencing token that was issued for \a upstream; 0 when there is none.
    std::uint64_t fencingToken(std::string_view upstream) const;

    /// In order of name.
    const std::vector<RecordList<wire::Upstream>::Row> &upstreams() const;
    const std::vector<RecordList<wire::Member>::Row> &members() const;
    const std::vector<RecordList<wire::Route>::Row> &routes() const;
    /// Includes withdrawn contracts.
    std::size_t contractCount() const { return m_contracts.size(); }

    /// Returns the view after the changes of \a response, or an unchanged copy when the revision of
    /// \a response is older. Fails with MalformedMessage when a record cannot be decoded: skipping
    /// that change would be unsafe, because it may withdraw a key.
    Result<DirectoryView> withChanges(const wire::PollChangesResponse &response) const;

private:
    class Builder;

    std::uint64_t m_revision = 0;
    std::uint64_t m_memberRevision = 0;
    RecordTable<wire::Contract> m_contracts;
    RecordTable<wire::ApiKey> m_keysByHash;
    RecordList<wire::Config> m_configs;
    RecordList<wire::Route> m_routes;
    RecordList<wire::Upstream> m_upstreams;
    RecordList<wire::Member> m_members;
    RecordList<wire::FencingToken> m_fencingTokens;
    RecordList<wire::QuarantinedRequest> m_quarantinedRequests;
};

} // namespace rattanrill::directory
