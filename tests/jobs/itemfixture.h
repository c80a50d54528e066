#pragma once

#include "storefixture.h"

#include "endlessserver.h"
#include "resumedresponses.h"
#include "scriptedserver.h"

#include <memory>
#include <string>
#include <vector>

namespace rattanrill::jobs {

inline const std::string streamHead =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
inline const std::string chunkedHead =
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
inline const net::ServerAnswer success{streamHead + "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", ""};

inline std::string wholeStream()
{
    std::string stream = chunkedHead;
    for (int id = 1; id <= 4; ++id)
        stream += serving::chunk(serving::numberedEvent(id));
    return stream + serving::lastChunk;
}

/// A store that runs jobs of one item.
struct ItemFixture : StoreFixture
{
    using StoreFixture::StoreFixture;

    /// Submits a job of one item. All upstreams have the address of \a server.
    void start(net::EndlessServer &server)
    {
        std::vector<wire::FleetUpstream> list;
        for (const std::string id : {"u1", "u2", "u3", "u4"})
            list.push_back({id, "llm", server.address(), "d", 1, false});
        thread.run([&] { broker.setUpstreams(list, serving::CapacityShare()); });
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        submit(request);
    }

    /// Submits a job of one item that waits for a slot.
    void startWaiting()
    {
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        submit(request);
        bool isWaiting = false;
        while (!isWaiting)
            thread.run([&] { isWaiting = executor.openItemCounts().waiting == 1; });
    }

    /// Runs a job of one item and returns the result, or one without id when there is none within
    /// 30 s.
    wire::JobItemResult runItem(net::EndlessServer &server)
    {
        start(server);
        return awaitResult();
    }

    /// Sets four upstreams at the address of \a server, whose ids begin with \a prefix.
    void setUpstreams(const net::ScriptedServer &server, const std::string &prefix,
                      const std::string &version = "")
    {
        std::vector<wire::FleetUpstream> list;
        for (int i = 0; i < 4; ++i)
            list.push_back(
                    {prefix + std::to_string(i), "llm", server.address(), "d", 1, false, version});
        thread.run([&] { broker.setUpstreams(list, serving::CapacityShare()); });
    }

    /// Runs the job \a job of one item, whose id is "a".
    wire::JobItemResult runItem(const net::ScriptedServer &server, const std::string &job)
    {
        setUpstreams(server, job);
        wire::SubmitJobRequest request = submission(job);
        request.job.items.resize(1);
        request.job.items.front().id = "a";
        submit(request);
        return awaitResult(job);
    }

    /// Sets the number of attempts of an item that fail with status 500.
    void setMaxAttempts(int maxAttempts)
    {
        serving::Deployment changed = deployment()->deployment();
        changed.routes.front().maxAttempts = maxAttempts;
        thread.run([&] {
            executor.setDeployment(std::make_shared<const serving::DeploymentIndex>(changed));
        });
    }

    /// Sets the configuration with \a targets as the services of its route, and a time limit.
    void setRoute(const std::vector<serving::RouteTarget> &targets,
                  absl::Duration abandonAfter = absl::ZeroDuration())
    {
        serving::Deployment changed = deployment()->deployment();
        changed.routes.front().targets = targets;
        changed.routes.front().abandonAfter = abandonAfter;
        thread.run([&] {
            executor.setDeployment(std::make_shared<const serving::DeploymentIndex>(changed));
        });
    }

    /// Submits the job "job" of one item, whose id is "a".
    void startItem(const net::ScriptedServer &server)
    {
        setUpstreams(server, "u");
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        request.job.items.front().id = "a";
        submit(request);
    }

    /// Waits until the item has failed at its request number \a requests. Then stops all items and
    /// takes them over again, as a new leader of the store group does. No upstream is known in
    /// between, so that the item is not sent meanwhile.
    void changeLeaderAfterFailure(const net::ScriptedServer &server, std::size_t requests)
    {
        await([&] {
            const bool hasFailed = server.requests().size() >= requests
                                   && executor.openItemCounts().backingOff == 1;
            if (hasFailed)
                broker.setUpstreams({}, serving::CapacityShare());
            return hasFailed;
        });
        await([&] { return executor.openItemCounts().waiting == 1; });
        thread.run([this] {
            service.handleLeadershipChange(false);
            service.handleLeadershipChange(true);
        });
        setUpstreams(server, "u");
    }

    wire::JobItemResult awaitResult(const std::string &job = "job")
    {
        wire::JobItemResult result;
        const absl::Time end = absl::Now() + absl::Seconds(30);
        while (result.id.empty() && absl::Now() < end) {
            absl::Notification done;
            thread.run([&] {
                client.read({"w", job, 0, 1000}, absl::Seconds(5), [&](const auto &outcome) {
                    if (outcome.ok() && !outcome.value().results.empty())
                        result = outcome.value().results.front();
                    done.Notify();
                });
            });
            done.WaitForNotification();
        }
        return result;
    }
};

} // namespace rattanrill::jobs
