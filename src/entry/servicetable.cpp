#include "servicetable.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/policy/passoverrule.h"

#include <algorithm>
#include <set>

namespace rattanrill::entry {
namespace {

/// Cost, in units of load, of a call to another failure domain.
constexpr double remoteDomainCost = 0.1;
/// Capacity assumed until a service has reported its own.
constexpr double defaultCapacity = 16;

} // namespace

ServiceTable::ServiceTable(std::string failureDomain, const Clock &clock)
    : m_failureDomain(std::move(failureDomain))
    , m_clock(clock)
{}

void ServiceTable::update(const directory::DirectoryView &view)
{
    std::map<std::string, Instance> instances;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.upstreams()) {
        const wire::Upstream &upstream = *row.record;
        if (upstream.kind != wire::UpstreamKind::Service)
            continue;
        const auto known = m_instances.find(upstream.name);
        Instance instance = known == m_instances.end() ? newInstance(upstream.name) : known->second;
        const bool moved =
                instance.upstream.host != upstream.host || instance.upstream.port != upstream.port;
        if (moved || !instance.client) {
            instance.client = makeClient(upstream);
            instance.announcement = LeavingAnnouncement();
        }
        instance.upstream = upstream;
        instance.announcement.update(upstream);
        instances.emplace(upstream.name, std::move(instance));
    }
    for (const auto &[name, instance] : m_instances) {
        if (instance.ownCalls > 0 && instances.count(name) == 0)
            m_unlistedCalls.emplace(name, instance.ownCalls);
    }
    m_instances = std::move(instances);
    retainFailures();
}

ServiceTable::Instance ServiceTable::newInstance(const std::string &name)
{
    Instance instance;
    const auto calls = m_unlistedCalls.find(name);
    if (calls != m_unlistedCalls.end()) {
        instance.ownCalls = calls->second;
        m_unlistedCalls.erase(calls);
    }
    return instance;
}

void ServiceTable::endUnlistedCall(const std::string &name)
{
    const auto calls = m_unlistedCalls.find(name);
    if (calls != m_unlistedCalls.end() && --calls->second == 0)
        m_unlistedCalls.erase(calls);
}

/// Forgets the server errors of instances that left their service.
void ServiceTable::retainFailures()
{
    std::map<std::string, std::set<std::string>> instances;
    for (const auto &[name, instance] : m_instances)
        instances[instance.upstream.serves].insert(name);
    for (auto entry = m_failures.begin(); entry != m_failures.end();)
        entry = instances.count(entry->first) == 0 ? m_failures.erase(entry) : std::next(entry);
    for (const auto &[service, names] : instances)
        m_failures[service].retain(names);
}

ServiceTable::Client ServiceTable::makeClient(const wire::Upstream &upstream)
{
    service::ServiceOptions options;
    options.name = upstream.name;
    options.host = upstream.host;
    options.port = static_cast<int>(upstream.port);
    options.onLeaving = [this, name = options.name, host = options.host, port = options.port] {
        announceLeaving(name, host, port);
    };
    return std::make_shared<service::ServiceClient>(options);
}

void ServiceTable::announceLeaving(const std::string &name, const std::string &host, int port)
{
    {
        absl::MutexLock lock(&m_mutex);
        const auto instance = m_instances.find(name);
        // A late response of a process that was replaced does not concern its successor.
        const bool isCurrent = instance != m_instances.end()
                               && instance->second.upstream.host == host
                               && instance->second.upstream.port == port;
        if (!isCurrent || !instance->second.announcement.announce())
            return;
    }
    log(LogLevel::Info, "upstream-leaving", {{"upstream", name}});
}

std::vector<ServiceTable::Client> ServiceTable::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Client> clients;
    for (const auto &[name, instance] : m_instances)
        clients.push_back(instance.client);
    return clients;
}

void ServiceTable::loadReported(const std::string &name, const service::ServiceLoadReport &load)
{
    absl::MutexLock lock(&m_mutex);
    const auto instance = m_instances.find(name);
    if (instance != m_instances.end())
        instance->second.load = load;
}

double ServiceTable::capacity(const Instance &instance)
{
    return instance.load.capacity > 0 ? static_cast<double>(instance.load.capacity)
                                      : defaultCapacity;
}

/// Calls that run at the instance, as far as this entry knows.
std::int64_t ServiceTable::callCount(const Instance &instance)
{
    return std::max(instance.load.running, instance.ownCalls);
}

/// Whether the instance gets calls, apart from its server errors.
bool ServiceTable::isAccepting(absl::Time now, const Instance &instance)
{
    return instance.upstream.state == wire::UpstreamState::Active
           && !instance.announcement.isAnnounced() && !instance.outlier.ejected(now);
}

double ServiceTable::cost(absl::Time now, const policy::FailureShares &failures,
                          const Instance &instance) const
{
    const auto calls = static_cast<double>(callCount(instance));
    const double share = std::min(instance.outlier.trafficShare(now),
                                  failures.usableShare(now, instance.upstream.name));
    // The lower bound only prevents a division by zero: the traffic share is 0 only while the
    // detector of consecutive failures ejects the instance, which is not usable then.
    const double load = (calls + 1) / capacity(instance) / std::max(share, 0.01);
    return load + (instance.upstream.failureDomain == m_failureDomain ? 0 : remoteDomainCost);
}

std::vector<ServiceTable::Instance *>
ServiceTable::usableInstances(absl::Time now, const std::string &service,
                              const std::vector<std::string> &excluded)
{
    std::vector<Instance *> usable;
    for (auto &[name, instance] : m_instances) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), name) != excluded.end();
        if (instance.upstream.serves == service && isAccepting(now, instance) && !isExcluded)
            usable.push_back(&instance);
    }
    return usable;
}

/// Leaves out instances that are ejected or passed over because of server errors, as long as there
/// are others. Plain services have no slots, so an instance has room while its calls are below its
/// capacity.
void ServiceTable::removeFailing(absl::Time now, const policy::FailureShares &failures,
                                 std::vector<Instance *> &usable)
{
    const auto isFailing = [&](const Instance *instance) {
        return failures.isEjected(now, instance->upstream.name);
    };
    if (!std::all_of(usable.begin(), usable.end(), isFailing))
        usable.erase(std::remove_if(usable.begin(), usable.end(), isFailing), usable.end());
    const auto nameOf = [](const Instance *instance) -> const std::string & {
        return instance->upstream.name;
    };
    const auto isOpen = [](const Instance *instance) {
        return static_cast<double>(callCount(*instance)) < capacity(*instance);
    };
    const auto isIdle = [](const Instance *instance) { return callCount(*instance) == 0; };
    policy::removePassedOver(now, failures, usable, nameOf, isOpen, isIdle);
}

ServiceTable::Client ServiceTable::beginCall(const std::string &service,
                                             const std::vector<std::string> &excluded)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    std::vector<Instance *> usable = usableInstances(now, service, excluded);
    if (usable.empty())
        return nullptr;
    const policy::FailureShares &failures = m_failures.at(service);
    removeFailing(now, failures, usable);
    Instance *best = nullptr;
    double bestCost = 0;
    for (Instance *instance : usable) {
        const double instanceCost = cost(now, failures, *instance);
        if (best == nullptr || instanceCost < bestCost) {
            best = instance;
            bestCost = instanceCost;
        }
    }
    ++best->ownCalls;
    return best->client;
}

std::optional<policy::ServerErrorEjection>
ServiceTable::recordServerError(absl::Time now, const Instance &instance,
                                const std::string &workspace)
{
    const std::string &service = instance.upstream.serves;
    std::vector<std::string> candidates;
    for (const auto &[name, candidate] : m_instances) {
        if (candidate.upstream.serves == service && isAccepting(now, candidate))
            candidates.push_back(name);
    }
    policy::FailureShares &failures = m_failures.at(service);
    const std::string &name = instance.upstream.name;
    if (!failures.failed(now, name, workspace, candidates))
        return std::nullopt;
    return policy::ServerErrorEjection{name, service, failures.ejectedUntil(name) - now,
                                       instance.ownCalls};
}

std::optional<policy::ServerErrorEjection> ServiceTable::recordEnd(absl::Time now,
                                                                   const std::string &name,
                                                                   const std::string &workspace,
                                                                   CallEnd end)
{
    const auto found = m_instances.find(name);
    if (found == m_instances.end()) {
        endUnlistedCall(name);
        return std::nullopt;
    }
    Instance &instance = found->second;
    --instance.ownCalls;
    if (end == CallEnd::Failed || end == CallEnd::Crashed) {
        instance.outlier.failed(now, end == CallEnd::Crashed);
        return std::nullopt;
    }
    instance.outlier.succeeded(now);
    if (end == CallEnd::ServerError)
        return recordServerError(now, instance, workspace);
    if (end == CallEnd::Completed)
        m_failures.at(instance.upstream.serves).succeeded(now, name, workspace);
    return std::nullopt;
}

std::optional<policy::ServerErrorEjection>
ServiceTable::endCall(const std::string &name, const std::string &workspace, CallEnd end)
{
    absl::MutexLock lock(&m_mutex);
    return recordEnd(m_clock.now(), name, workspace, end);
}

} // namespace rattanrill::entry
