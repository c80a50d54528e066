#include "rattanrill/directory/directoryview.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/directory/pathprefix.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <array>
#include <optional>

namespace rattanrill::directory {
namespace {

/// Does nothing: the records in a RecordTable, contracts and keys, are withdrawn but never removed.
template <typename Record>
void removeFrom(typename RecordTable<Record>::Editor &, const std::string &)
{}

template <typename Record>
void removeFrom(typename RecordList<Record>::Editor &editor, const std::string &id)
{
    editor.remove(id);
}

/// Returns the id under which a view stores the record: the hash of an API key, otherwise the id of
/// the record.
const std::string &lookupKey(const wire::ApiKey &key, const std::string &)
{
    return key.hash;
}

template <typename Record>
const std::string &lookupKey(const Record &, const std::string &id)
{
    return id;
}

/// Edits one table of a view. The table is copied only at its first change.
template <typename Table, typename Record>
class LazyTableEditor
{
public:
    explicit LazyTableEditor(Table &table)
        : m_table(table)
    {}

    Result<void> apply(const wire::RecordChange &change)
    {
        if (!m_editor)
            m_editor.emplace(m_table);
        if (change.removed) {
            removeFrom<Record>(*m_editor, change.id);
            return {};
        }
        BOOST_LEAF_AUTO(record, wire::decode<Record>(change.body));
        const std::string key = lookupKey(record, change.id);
        m_editor->put(key, std::move(record));
        return {};
    }

    void finish()
    {
        if (m_editor)
            m_table = m_editor->finish();
    }

private:
    Table &m_table;
    std::optional<typename Table::Editor> m_editor;
};

template <typename Record>
using RecordTableEditor = LazyTableEditor<RecordTable<Record>, Record>;
template <typename Record>
using RecordListEditor = LazyTableEditor<RecordList<Record>, Record>;

} // namespace

/// Applies the changes of one response to a view.
class DirectoryView::Builder
{
public:
    explicit Builder(DirectoryView &view)
        : m_contracts(view.m_contracts)
        , m_keys(view.m_keysByHash)
        , m_configs(view.m_configs)
        , m_routes(view.m_routes)
        , m_upstreams(view.m_upstreams)
        , m_members(view.m_members)
        , m_fencingTokens(view.m_fencingTokens)
        , m_quarantinedRequests(view.m_quarantinedRequests)
    {}

    Result<void> apply(const wire::RecordChange &change)
    {
        using Applier = Result<void> (Builder::*)(const wire::RecordChange &);
        // In order of wire::RecordKind.
        static constexpr std::array<Applier, 8> appliers = {
                &Builder::applyTo<&Builder::m_contracts>,
                &Builder::applyTo<&Builder::m_keys>,
                &Builder::applyTo<&Builder::m_configs>,
                &Builder::applyTo<&Builder::m_routes>,
                &Builder::applyTo<&Builder::m_upstreams>,
                &Builder::applyTo<&Builder::m_members>,
                &Builder::applyTo<&Builder::m_fencingTokens>,
                &Builder::applyTo<&Builder::m_quarantinedRequests>,
        };
        return (this->*appliers.at(static_cast<std::size_t>(change.kind)))(change);
    }

    void finish()
    {
        m_contracts.finish();
        m_keys.finish();
        m_configs.finish();
        m_routes.finish();
        m_upstreams.finish();
        m_members.finish();
        m_fencingTokens.finish();
        m_quarantinedRequests.finish();
    }

private:
    template <auto Member>
    Result<void> applyTo(const wire::RecordChange &change)
    {
        return (this->*Member).apply(change);
    }

    RecordTableEditor<wire::Contract> m_contracts;
    RecordTableEditor<wire::ApiKey> m_keys;
    RecordListEditor<wire::Config> m_configs;
    RecordListEditor<wire::Route> m_routes;
    RecordListEditor<wire::Upstream> m_upstreams;
    RecordListEditor<wire::Member> m_members;
    RecordListEditor<wire::FencingToken> m_fencingTokens;
    RecordListEditor<wire::QuarantinedRequest> m_quarantinedRequests;
};

std::shared_ptr<const wire::Contract> DirectoryView::contract(std::string_view workspace) const
{
    return m_contracts.find(workspace);
}

std::shared_ptr<const wire::ApiKey> DirectoryView::apiKeyByHash(std::string_view hash) const
{
    return m_keysByHash.find(hash);
}

std::shared_ptr<const wire::Config> DirectoryView::config(std::string_view name) const
{
    return m_configs.find(name);
}

std::shared_ptr<const wire::Route> DirectoryView::route(std::string_view path) const
{
    std::shared_ptr<const wire::Route> best;
    for (const auto &[name, route] : m_routes.rows()) {
        if (!matchesPrefix(path, route->pathPrefix))
            continue;
        const std::size_t length = withoutTrailingSlash(route->pathPrefix).size();
        if (!best || length > withoutTrailingSlash(best->pathPrefix).size())
            best = route;
    }
    return best;
}

std::shared_ptr<const wire::Upstream> DirectoryView::upstream(std::string_view name) const
{
    return m_upstreams.find(name);
}

std::shared_ptr<const wire::Member> DirectoryView::member(std::string_view instance) const
{
    return m_members.find(instance);
}

std::shared_ptr<const wire::QuarantinedRequest>
DirectoryView::quarantinedRequest(std::string_view fingerprint, std::int64_t nowMs) const
{
    std::shared_ptr<const wire::QuarantinedRequest> record =
            m_quarantinedRequests.find(fingerprint);
    const bool quarantined = record && record->held && record->expiresAtMs > nowMs;
    return quarantined ? record : nullptr;
}

std::uint64_t DirectoryView::fencingToken(std::string_view upstream) const
{
    const std::shared_ptr<const wire::FencingToken> record = m_fencingTokens.find(upstream);
    return record ? record->number : 0;
}

const std::vector<RecordList<wire::Upstream>::Row> &DirectoryView::upstreams() const
{
    return m_upstreams.rows();
}

const std::vector<RecordList<wire::Member>::Row> &DirectoryView::members() const
{
    return m_members.rows();
}

const std::vector<RecordList<wire::Route>::Row> &DirectoryView::routes() const
{
    return m_routes.rows();
}

Result<DirectoryView> DirectoryView::withChanges(const wire::PollChangesResponse &response) const
{
    if (response.revision < m_revision)
        return *this;
    DirectoryView next = response.snapshot ? DirectoryView() : *this;
    Builder builder(next);
    for (const wire::RecordChange &change : response.changes) {
        // Changes up to the revision of this view are skipped, because it may contain newer
        // versions of their records.
        if (response.snapshot || change.revision > m_revision)
            BOOST_LEAF_CHECK(builder.apply(change));
    }
    builder.finish();
    next.m_revision = response.revision;
    next.m_memberRevision = response.memberRevision;
    return next;
}

} // namespace rattanrill::directory
