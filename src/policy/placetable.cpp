#include "rattanrill/policy/placetable.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace rattanrill::policy {
namespace {

/// Weight of a new sample in the mean time that a place is held.
constexpr double smoothing = 0.05;
/// Retry-After when no upstream of the service takes work at all.
constexpr absl::Duration noUpstreamReturn = absl::Seconds(1);

constexpr std::array<EnumName<PlaceEnd>, 4> placeEndNames = {{
        {PlaceEnd::Served, "served"},
        {PlaceEnd::Abandoned, "abandoned"},
        {PlaceEnd::Failed, "failed"},
        {PlaceEnd::Gone, "gone"},
}};

bool isOnline(const PlaceWork &work)
{
    return work.kind == WorkKind::Online;
}

} // namespace

std::string_view name(PlaceEnd end)
{
    return nameOf(placeEndNames, end);
}

std::optional<PlaceEnd> placeEndFromName(std::string_view name)
{
    return valueOf(placeEndNames, name);
}

PlaceTable::PlaceTable(PlaceTableSettings settings)
    : m_settings(settings)
{}

PlaceTable::Service &PlaceTable::service(const std::string &name)
{
    const auto [found, isNew] = m_services.try_emplace(name);
    if (isNew)
        found->second.meanHold = m_settings.expectedHold;
    return found->second;
}

PlaceTable::Item *PlaceTable::itemOf(WorkId number)
{
    const auto found = m_numbers.find(number);
    return found == m_numbers.end() ? nullptr : found->second;
}

void PlaceTable::setUpstreams(const std::vector<PlaceUpstream> &upstreams)
{
    for (auto &[id, upstream] : m_upstreams)
        upstream->removed = true;
    for (auto &[name, service] : m_services)
        service.upstreams.clear();
    for (const PlaceUpstream &info : upstreams) {
        std::unique_ptr<Upstream> &upstream = m_upstreams[info.id];
        if (upstream == nullptr) {
            upstream = std::make_unique<Upstream>();
            upstream->outlier = OutlierDetector(m_settings.outlier);
        }
        upstream->info = info;
        upstream->removed = false;
        service(info.service).upstreams.push_back(upstream.get());
    }
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const bool isUnused = entry->second->removed && entry->second->held() == 0;
        entry = isUnused ? m_upstreams.erase(entry) : std::next(entry);
    }
}

void PlaceTable::request(absl::Time now, const PlaceWork &work)
{
    if (knows(work.id))
        withdraw(now, work.id);
    auto item = std::make_unique<Item>();
    item->work = work;
    item->number = m_nextNumber++;
    item->since = now;
    Service &wanted = service(work.service);
    if (isOnline(work)) {
        wanted.online[work.priority].push(work.workspace, item->number, now);
        ++wanted.onlineWaiting;
    } else {
        wanted.batch.push(work.workspace, item->number, work.due);
        ++wanted.batchWaiting;
    }
    m_numbers[item->number] = item.get();
    m_items[work.id] = std::move(item);
}

void PlaceTable::adopt(absl::Time now, const PlaceWork &work, const std::string &upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (knows(work.id) || found == m_upstreams.end())
        return;
    auto item = std::make_unique<Item>();
    item->work = work;
    item->number = m_nextNumber++;
    item->since = now;
    item->upstream = found->second.get();
    (isOnline(work) ? item->upstream->online : item->upstream->batch).insert(item.get());
    m_numbers[item->number] = item.get();
    m_items[work.id] = std::move(item);
}

void PlaceTable::dequeue(Service &service, Item &item)
{
    if (isOnline(item.work)) {
        service.online[item.work.priority].remove(item.number);
        --service.onlineWaiting;
    } else {
        service.batch.remove(item.number);
        --service.batchWaiting;
    }
}

void PlaceTable::forget(Item &item)
{
    m_numbers.erase(item.number);
    m_items.erase(std::string(item.work.id));
}

void PlaceTable::leavePlace(absl::Time, Item &item)
{
    Upstream &upstream = *item.upstream;
    upstream.online.erase(&item);
    upstream.batch.erase(&item);
    item.upstream = nullptr;
    if (upstream.removed && upstream.held() == 0)
        m_upstreams.erase(std::string(upstream.info.id));
}

void PlaceTable::release(absl::Time now, const std::string &work, PlaceEnd end)
{
    const auto found = m_items.find(work);
    if (found == m_items.end())
        return;
    Item &item = *found->second;
    if (item.upstream == nullptr)
        return withdraw(now, work);
    if (end == PlaceEnd::Served)
        item.upstream->outlier.succeeded(now);
    else if (end != PlaceEnd::Abandoned)
        item.upstream->outlier.failed(now, end == PlaceEnd::Gone);
    if (isOnline(item.work) && end == PlaceEnd::Served) {
        absl::Duration &mean = service(item.work.service).meanHold;
        mean += (now - item.since - mean) * smoothing;
    }
    leavePlace(now, item);
    forget(item);
}

void PlaceTable::withdraw(absl::Time now, const std::string &work)
{
    const auto found = m_items.find(work);
    if (found == m_items.end())
        return;
    Item &item = *found->second;
    if (item.upstream == nullptr)
        dequeue(service(item.work.service), item);
    else
        leavePlace(now, item);
    forget(item);
}

void PlaceTable::loadReported(absl::Time now, const std::string &upstream, std::int64_t requests)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto &reports = found->second->reports;
    reports[0] = reports[1];
    reports[1] = {now, std::max<std::int64_t>(requests - found->second->held(), 0)};
}

std::int64_t PlaceTable::foreign(absl::Time now, const Upstream &upstream) const
{
    const auto &reports = upstream.reports;
    if (now - reports[0].at > m_settings.reportLifetime)
        return 0;
    return std::min(reports[0].foreign, reports[1].foreign);
}

bool PlaceTable::takes(absl::Time now, const Upstream &upstream, const Item &item) const
{
    if (upstream.info.leaving || upstream.removed)
        return false;
    const auto &excluded = item.work.excluded;
    if (std::find(excluded.begin(), excluded.end(), upstream.info.id) != excluded.end())
        return false;
    return !upstream.outlier.ejected(now);
}

/// The one with the fewest requests, since each makes the steps of all others longer.
PlaceTable::Upstream *PlaceTable::freeUpstream(absl::Time now, const Service &service,
                                               const Item &item) const
{
    const std::int64_t reserve = isOnline(item.work) ? 0 : m_settings.reserve;
    Upstream *best = nullptr;
    std::int64_t bestLoad = 0;
    for (Upstream *upstream : service.upstreams) {
        const double share = upstream->outlier.share(now);
        const auto room = static_cast<std::int64_t>(
                std::ceil(static_cast<double>(upstream->info.slots) * share));
        const std::int64_t load = upstream->held() + foreign(now, *upstream);
        if (!takes(now, *upstream, item) || load >= room - reserve)
            continue;
        if (best == nullptr || load < bestLoad) {
            best = upstream;
            bestLoad = load;
            continue;
        }
        const std::string &domain = item.work.failureDomain;
        const bool isNearer =
                upstream->info.failureDomain == domain && best->info.failureDomain != domain;
        if (load == bestLoad && isNearer)
            best = upstream;
    }
    return best;
}

/// The one with the most batch work.
PlaceTable::Upstream *PlaceTable::yieldingUpstream(absl::Time now, const Service &service,
                                                   const Item &item) const
{
    Upstream *best = nullptr;
    for (Upstream *upstream : service.upstreams) {
        if (!takes(now, *upstream, item) || upstream->batch.empty())
            continue;
        if (best == nullptr || upstream->batch.size() > best->batch.size())
            best = upstream;
    }
    return best;
}

void PlaceTable::yieldOne(Upstream &upstream)
{
    const auto youngest = std::max_element(
            upstream.batch.begin(), upstream.batch.end(),
            [](const Item *left, const Item *right) { return left->since < right->since; });
    Item &item = **youngest;
    m_decisions.emplace_back(YieldPlace{item.work.id});
    upstream.batch.erase(&item);
    forget(item);
}

void PlaceTable::grant(absl::Time now, Service &service, Item &item, Upstream &upstream)
{
    dequeue(service, item);
    FairQueue &queue = isOnline(item.work) ? service.online[item.work.priority] : service.batch;
    queue.charge(item.work.workspace, item.work.tokens);
    item.upstream = &upstream;
    item.since = now;
    (isOnline(item.work) ? upstream.online : upstream.batch).insert(&item);
    m_decisions.emplace_back(GrantPlace{item.work.id, upstream.info.id, upstream.info.address});
}

void PlaceTable::decideOnline(absl::Time now, Service &service)
{
    for (auto &[priority, queue] : service.online) {
        while (const std::optional<WorkId> next = queue.front()) {
            Item &item = *itemOf(*next);
            Upstream *upstream = freeUpstream(now, service, item);
            if (upstream == nullptr) {
                upstream = yieldingUpstream(now, service, item);
                if (upstream == nullptr)
                    return;
                yieldOne(*upstream);
            }
            grant(now, service, item, *upstream);
        }
    }
}

void PlaceTable::decideBatch(absl::Time now, Service &service)
{
    if (service.onlineWaiting > 0)
        return;
    while (const std::optional<WorkId> next = service.batch.front()) {
        Item &item = *itemOf(*next);
        Upstream *upstream = freeUpstream(now, service, item);
        if (upstream == nullptr)
            return;
        grant(now, service, item, *upstream);
    }
}

/// Time from one end of an online request to the next when all places are taken.
absl::Duration PlaceTable::spacing(const Service &service) const
{
    std::int64_t places = 0;
    for (const Upstream *upstream : service.upstreams)
        places += upstream->info.leaving ? 0 : upstream->info.slots;
    return places == 0 ? absl::InfiniteDuration() : service.meanHold / places;
}

/// What waits in vain is refused now rather than at its due time. Those of the workspace with the
/// most service go first.
void PlaceTable::refuseHopeless(absl::Time now, Service &service)
{
    for (auto entry = service.online.rbegin(); entry != service.online.rend(); ++entry) {
        FairQueue &queue = entry->second;
        while (const std::optional<WorkId> last = queue.back()) {
            Item &item = *itemOf(*last);
            const absl::Duration wait =
                    spacing(service) * static_cast<double>(service.onlineWaiting);
            if (now + wait <= item.work.due)
                break;
            refuse(now, service, item);
        }
    }
    std::vector<Item *> late;
    for (const auto &[id, item] : m_items) {
        const bool isWaiting = item->upstream == nullptr && isOnline(item->work);
        if (isWaiting && item->work.due <= now && &this->service(item->work.service) == &service)
            late.push_back(item.get());
    }
    for (Item *item : late)
        refuse(now, service, *item);
}

void PlaceTable::refuse(absl::Time now, Service &service, Item &item)
{
    absl::Duration wait = noUpstreamReturn;
    const absl::Duration step = spacing(service);
    if (step != absl::InfiniteDuration()) {
        const absl::Time next = std::max(service.lastReturn, now + m_settings.shortestReturn)
                                + step / m_settings.returnShare;
        wait = std::min(next - now, item.work.longestReturn);
        service.lastReturn = now + wait;
    }
    m_decisions.emplace_back(RefusePlace{item.work.id, wait});
    dequeue(service, item);
    forget(item);
}

std::vector<PlaceDecision> PlaceTable::decide(absl::Time now)
{
    for (auto &[name, service] : m_services) {
        decideOnline(now, service);
        if (service.onlineWaiting > 0)
            refuseHopeless(now, service);
        decideBatch(now, service);
    }
    return std::exchange(m_decisions, {});
}

absl::Time PlaceTable::nextDecision() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto &[id, item] : m_items) {
        if (item->upstream == nullptr && isOnline(item->work))
            next = std::min(next, item->work.due);
    }
    return next;
}

std::size_t PlaceTable::waiting(const std::string &service, WorkKind kind) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    return kind == WorkKind::Online ? found->second.onlineWaiting : found->second.batchWaiting;
}

std::size_t PlaceTable::held(const std::string &service, WorkKind kind) const
{
    std::size_t count = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->info.service == service)
            count += kind == WorkKind::Online ? upstream->online.size() : upstream->batch.size();
    }
    return count;
}

std::int64_t PlaceTable::places(const std::string &service) const
{
    std::int64_t places = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->info.service == service && !upstream->info.leaving && !upstream->removed)
            places += upstream->info.slots;
    }
    return places;
}

} // namespace rattanrill::policy
