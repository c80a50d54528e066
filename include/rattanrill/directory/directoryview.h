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

/// Immutable copy of the directory at one revision. Copies are cheap and share their records;
/// a default-constructed view is empty and has revision 0. Lookups give null for a missing record.
class DirectoryView
{
public:
    std::uint64_t revision() const { return m_revision; }
    /// Revision of the last member change; entries with equal values agree on owners.
    std::uint64_t memberRevision() const { return m_memberRevision; }

    /// The contract may be withdrawn.
    std::shared_ptr<const wire::Contract> contract(std::string_view workspace) const;
    /// Key with this SHA-256 (hexadecimal); it may be withdrawn.
    std::shared_ptr<const wire::ApiKey> apiKeyByHash(std::string_view hash) const;
    std::shared_ptr<const wire::Config> config(std::string_view name) const;
    /// Route with the longest prefix of \a path (without query), compared by whole segments.
    std::shared_ptr<const wire::Route> route(std::string_view path) const;
    std::shared_ptr<const wire::Upstream> upstream(std::string_view name) const;
    std::shared_ptr<const wire::Member> member(std::string_view instance) const;
    /// Record of a request that must not run at \a nowMs (wall clock).
    std::shared_ptr<const wire::QuarantinedRequest> quarantinedRequest(std::string_view fingerprint,
                                                                       std::int64_t nowMs) const;
    /// Highest fencing number issued for an upstream; 0 for none.
    std::uint64_t fencingToken(std::string_view upstream) const;

    /// In order of name.
    const std::vector<RecordList<wire::Upstream>::Row> &upstreams() const;
    const std::vector<RecordList<wire::Member>::Row> &members() const;
    const std::vector<RecordList<wire::Route>::Row> &routes() const;
    std::size_t contractCount() const { return m_contracts.size(); }

    /// The view after \a response. A response of an older revision gives the same view again.
    /// Fails with MalformedMessage when a record can't be decoded: a change that is left out could
    /// be a withdrawn key.
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
    RecordList<wire::FencingToken> m_fences;
    RecordList<wire::QuarantinedRequest> m_held;
};

} // namespace rattanrill::directory
