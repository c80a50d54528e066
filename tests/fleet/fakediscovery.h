#pragma once

#include "rattanrill/fleet/upstreamdiscovery.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::fleet {

inline wire::FleetUpstream upstream(const std::string &id, bool draining)
{
    return {id, "llm", id + ":1", "d", 8, draining};
}

/// The platform's list as a test sets it. Responds to calls at once, or when the test says so.
class FakeDiscovery : public UpstreamDiscovery
{
public:
    void readPage(const std::string &token, PageCallback callback) override
    {
        ++m_callCounts[token];
        if (m_isHolding)
            m_heldCalls.emplace_back(token, std::move(callback));
        else
            callback(response(token));
    }

    void setPage(const std::string &token, std::vector<wire::FleetUpstream> upstreams,
                 const std::string &next)
    {
        UpstreamPage page;
        page.upstreams = std::move(upstreams);
        page.nextPage = next;
        m_pages.insert_or_assign(token, Outcome<UpstreamPage>(std::move(page)));
    }
    void failPage(const std::string &token, ErrorCode code)
    {
        m_pages.insert_or_assign(token, Outcome<UpstreamPage>(notRun(code, "")));
    }
    /// From now on calls get no response until releaseCalls().
    void holdCalls() { m_isHolding = true; }
    void releaseCalls()
    {
        m_isHolding = false;
        for (auto &[token, callback] : std::exchange(m_heldCalls, {}))
            callback(response(token));
    }
    int calls(const std::string &token) const
    {
        const auto found = m_callCounts.find(token);
        return found == m_callCounts.end() ? 0 : found->second;
    }
    int calls() const
    {
        int sum = 0;
        for (const auto &[token, count] : m_callCounts)
            sum += count;
        return sum;
    }

private:
    Outcome<UpstreamPage> response(const std::string &token) const
    {
        const auto found = m_pages.find(token);
        return found == m_pages.end() ? Outcome<UpstreamPage>(UpstreamPage()) : found->second;
    }

    std::map<std::string, Outcome<UpstreamPage>> m_pages;
    std::map<std::string, int> m_callCounts;
    bool m_isHolding = false;
    std::vector<std::pair<std::string, PageCallback>> m_heldCalls;
};

} // namespace rattanrill::fleet
