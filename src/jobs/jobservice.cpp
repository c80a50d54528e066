#include "rattanrill/jobs/jobservice.h"

#include "jobmonitor.h"
#include "openjobcheck.h"
#include "openjobreader.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <algorithm>
#include <list>
#include <optional>
#include <utility>

namespace rattanrill::jobs {
namespace {

/// Maximum time for which a read waits for a result, whatever the client requests.
constexpr absl::Duration maxReadWait = absl::Seconds(2);
/// Finished and cancelled jobs are kept for this long beyond their retention: the clock of the
/// store that accepted them may be behind.
constexpr absl::Duration retentionMargin = absl::Seconds(10);
/// Interval at which old jobs are removed.
constexpr absl::Duration cleanupPeriod = absl::Seconds(10);

} // namespace

struct JobService::Impl : std::enable_shared_from_this<JobService::Impl>
{
    struct WaitingRead
    {
        wire::ReadJobRequest request;
        peer::ResponseCallback reply;
        absl::Time deadline;
    };

    using Handler = void (Impl::*)(const std::string &body, peer::ResponseCallback reply);

    Impl(const JobExecutorContext &context, JobExecutor &executor)
        : context(context)
        , executor(executor)
        , monitor(this->context, executor)
        , openJobs(std::make_shared<OpenJobReader>(this->context, executor))
        , openJobCheck(std::make_shared<OpenJobCheck>(this->context, executor, openJobs))
    {}

    Failure notLeader() const
    {
        return notRun(ErrorCode::NotLeader, context.replica.status().leader);
    }

    /// The sender's configuration has the route. If it is newer than this one, the route may be
    /// new.
    Failure unknownRoute(const wire::SubmitJobRequest &request) const
    {
        if (!deployment || deployment->version() < request.configurationVersion)
            return notRun(ErrorCode::NoQuorum,
                          "the store has not received the sender's configuration yet");
        return notRun(ErrorCode::UnknownRoute,
                      concat("the configuration has no route \"", request.job.route, "\""));
    }

    /// Decodes a request that only the leader serves. If it is malformed or this replica can't
    /// serve it, responds with the failure and returns nullopt.
    template <typename Message>
    std::optional<Message> decodeOnLeader(const std::string &body,
                                          const peer::ResponseCallback &reply) const
    {
        auto request = outcomeOf([&] { return wire::decode<Message>(body); });
        if (!request.ok())
            reply(request.failure());
        else if (!isReady || !context.replica.isLeader())
            reply(notLeader());
        else
            return std::move(request.value());
        return std::nullopt;
    }

    void submit(const std::string &body, peer::ResponseCallback reply)
    {
        auto request = decodeOnLeader<wire::SubmitJobRequest>(body, reply);
        if (!request)
            return;
        const serving::Route *route =
                deployment ? deployment->routeNamed(request->job.route) : nullptr;
        if (route == nullptr)
            return reply(unknownRoute(*request));
        wire::AcceptJob operation;
        operation.job = std::move(request->job);
        operation.job.acceptedAtMs = absl::ToUnixMillis(context.clock.wallNow());
        operation.maxWaitingTokens = route->maxWaitingTokens;
        const std::string command = wire::encode(wire::JobCommand{operation});
        context.replica.proposeAsLeader(
                command, [self = shared_from_this(), job = std::move(operation.job),
                          reply = std::move(reply), expectedGeneration = leadershipGeneration](
                                 const Outcome<std::string> &outcome) {
                    self->handleAcceptOutcome(expectedGeneration, job, reply, outcome);
                });
    }

    /// The items of a job that was proposed under an earlier leadership are not added: the next
    /// leader, which may be this replica, finds the job in its list of open jobs.
    void handleAcceptOutcome(std::uint64_t expectedGeneration, const wire::JobRecord &job,
                             const peer::ResponseCallback &reply,
                             const Outcome<std::string> &outcome)
    {
        const bool isStillLeader = expectedGeneration == leadershipGeneration;
        const auto result = wire::decodeOutcome<wire::JobCommandResult>(outcome);
        const bool isAccepted = result.ok() && !result.value().overLimit;
        log(LogLevel::Info, isAccepted ? "job-accepted" : "job-refused",
            {{"job", job.id},
             {"workspace", job.workspace},
             {"route", job.route},
             {"items", static_cast<std::int64_t>(job.items.size())},
             {"waitingTokens", result.ok() ? result.value().waitingTokens : -1},
             {"code", result.ok() ? "ok" : name(result.failure().code)},
             {"detail", result.ok() ? "" : result.failure().detail}});
        if (!result.ok()) {
            // The job may have been committed although the proposal failed.
            if (isStillLeader && result.failure().effect == EffectState::MayHaveRun)
                openJobs->request(job.id);
            return reply(result.failure());
        }
        if (!isAccepted)
            return reply(notRun(
                    ErrorCode::RateLimited,
                    "the job would exceed the workspace's limit of waiting tokens on this route"));
        if (isStillLeader && result.value().isNew)
            executor.addAccepted(job);
        else if (isStillLeader)
            openJobs->request(job.id);
        reply(std::string());
    }

    void read(const std::string &body, peer::ResponseCallback reply)
    {
        auto request = decodeOnLeader<wire::ReadJobRequest>(body, reply);
        if (!request)
            return;
        const absl::Duration wait =
                std::clamp(absl::Milliseconds(request->waitMs), absl::ZeroDuration(), maxReadWait);
        readNow(WaitingRead{std::move(*request), std::move(reply), context.clock.now() + wait});
    }

    void readNow(WaitingRead waiting)
    {
        const std::string query = wire::encode(wire::JobQuery{waiting.request});
        const std::uint64_t previousStoredResultCount = storedResultCount;
        context.replica.readOnLeader(
                query, [self = shared_from_this(), waiting = std::move(waiting),
                        previousStoredResultCount](const Outcome<std::string> &outcome) {
                    self->handleReadOutcome(waiting, previousStoredResultCount, outcome);
                });
    }

    void handleReadOutcome(const WaitingRead &waiting, std::uint64_t previousStoredResultCount,
                           const Outcome<std::string> &outcome)
    {
        if (!outcome.ok())
            return waiting.reply(outcome.failure());
        const auto response =
                outcomeOf([&] { return wire::decode<wire::ReadJobResponse>(outcome.value()); });
        if (!response.ok())
            return waiting.reply(response.failure());
        const bool isFinal = !response.value().results.empty()
                             || waiting.request.after >= response.value().total
                             || waiting.deadline <= context.clock.now() || !isReady;
        if (isFinal)
            return waiting.reply(outcome.value());
        if (previousStoredResultCount != storedResultCount)
            return readNow(waiting);
        waitingReads.push_back(waiting);
        armReadTimer();
    }

    void armReadTimer()
    {
        if (readTimer != 0 || waitingReads.empty())
            return;
        absl::Time next = absl::InfiniteFuture();
        for (const WaitingRead &waiting : waitingReads)
            next = std::min(next, waiting.deadline);
        readTimer = context.loop.timers().subscribeOnce(
                std::max(next - context.clock.now(), absl::ZeroDuration()),
                [self = shared_from_this()] {
                    self->readTimer = 0;
                    self->finishExpiredReads();
                });
    }

    void finishExpiredReads()
    {
        const absl::Time now = context.clock.now();
        std::list<WaitingRead> expired;
        for (auto waiting = waitingReads.begin(); waiting != waitingReads.end();) {
            const auto current = waiting++;
            if (current->deadline <= now)
                expired.splice(expired.end(), waitingReads, current);
        }
        for (const WaitingRead &waiting : expired)
            readNow(waiting);
        armReadTimer();
    }

    void handleResultStored(const std::string &job)
    {
        ++storedResultCount;
        std::list<WaitingRead> waiting;
        for (auto read = waitingReads.begin(); read != waitingReads.end();) {
            const auto current = read++;
            if (current->request.job == job)
                waiting.splice(waiting.end(), waitingReads, current);
        }
        for (const WaitingRead &read : waiting)
            readNow(read);
    }

    void readItem(const std::string &body, peer::ResponseCallback reply)
    {
        const auto request = decodeOnLeader<wire::ReadItemRequest>(body, reply);
        if (request)
            context.replica.readOnLeader(wire::encode(wire::JobQuery{*request}), std::move(reply));
    }

    void endJob(const std::string &body, peer::ResponseCallback reply)
    {
        const auto request = decodeOnLeader<wire::EndJobRequest>(body, reply);
        if (!request)
            return;
        const wire::EndJob operation{request->workspace, request->job};
        context.replica.proposeAsLeader(
                wire::encode(wire::JobCommand{operation}),
                [self = shared_from_this(), job = request->job, reply = std::move(reply),
                 expectedGeneration = leadershipGeneration](const Outcome<std::string> &outcome) {
                    log(LogLevel::Info, outcome.ok() ? "job-ended" : "job-end-failed",
                        {{"job", job},
                         {"code", outcome.ok() ? "ok" : name(outcome.failure().code)}});
                    if (outcome.ok() && expectedGeneration == self->leadershipGeneration)
                        self->executor.cancel(job);
                    reply(outcome);
                });
    }

    void handleLeadershipChange(bool isLeader)
    {
        isReady = false;
        ++leadershipGeneration;
        executor.stopAll();
        openJobs->stop();
        openJobCheck->stop();
        const auto waiting = std::exchange(waitingReads, {});
        for (const WaitingRead &read : waiting)
            read.reply(notLeader());
        if (!isLeader)
            return;
        openJobs->start([this] { isReady = true; });
        openJobCheck->start();
    }

    void removeOldJobs()
    {
        if (!isReady || !context.replica.isLeader())
            return;
        const wire::PurgeJobs operation{absl::ToUnixMillis(
                context.clock.wallNow() - context.jobRetention - retentionMargin)};
        context.replica.propose(wire::encode(wire::JobCommand{operation}),
                                [](const Outcome<std::string> &outcome) {
                                    if (!outcome.ok())
                                        log(LogLevel::Warning, "jobs-not-forgotten",
                                            {{"code", name(outcome.failure().code)}});
                                });
    }

    const JobExecutorContext context;
    JobExecutor &executor;
    JobMonitor monitor;
    std::shared_ptr<const serving::DeploymentIndex> deployment;
    const std::shared_ptr<OpenJobReader> openJobs;
    const std::shared_ptr<OpenJobCheck> openJobCheck;
    /// Whether the open jobs have been read since this replica gained leadership.
    bool isReady = false;
    /// Incremented whenever this replica gains or loses leadership.
    std::uint64_t leadershipGeneration = 0;
    std::list<WaitingRead> waitingReads;
    /// Number of results that this executor has stored. A read compares the numbers before and
    /// after its query, because a result that is stored meanwhile may be missing from the response.
    std::uint64_t storedResultCount = 0;
    TimerService::TimerId readTimer = 0;
    TimerService::TimerId cleanupTimer = 0;
};

JobService::JobService(const JobExecutorContext &context, JobExecutor &executor)
    : m_impl(std::make_shared<Impl>(context, executor))
{
    m_impl->cleanupTimer = context.loop.timers().subscribeEvery(
            cleanupPeriod, [impl = m_impl.get()] { impl->removeOldJobs(); });
    executor.onResultStored(
            [impl = m_impl.get()](const std::string &job) { impl->handleResultStored(job); });
}

JobService::~JobService()
{
    stop();
}

void JobService::install(peer::Server &server)
{
    const auto serve = [&server, impl = m_impl](wire::Method method, Impl::Handler handler) {
        server.setHandler(method, [impl, handler](const peer::PeerIdentity &, std::string body,
                                                  peer::ResponseCallback reply) {
            impl->context.loop.post(
                    [impl, handler, body = std::move(body), reply = std::move(reply)] {
                        (impl.get()->*handler)(body, reply);
                    });
        });
    };
    serve(wire::Method::SubmitJob, &Impl::submit);
    serve(wire::Method::ReadJob, &Impl::read);
    serve(wire::Method::ReadItem, &Impl::readItem);
    serve(wire::Method::EndJob, &Impl::endJob);
}

void JobService::setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment)
{
    m_impl->deployment = std::move(deployment);
}

void JobService::handleLeadershipChange(bool isLeader)
{
    m_impl->handleLeadershipChange(isLeader);
}

void JobService::stop()
{
    m_impl->monitor.stop();
    m_impl->openJobs->stop();
    m_impl->openJobCheck->stop();
    for (TimerService::TimerId *timer : {&m_impl->readTimer, &m_impl->cleanupTimer}) {
        if (*timer != 0)
            m_impl->context.loop.timers().unsubscribe(std::exchange(*timer, 0));
    }
}

} // namespace rattanrill::jobs
