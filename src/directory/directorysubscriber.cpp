#include "rattanrill/directory/directorysubscriber.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace rattanrill::directory {
namespace {

/// Maximum number of doublings of the backoff, so that the shift in backoff() does not overflow.
/// The backoff reaches its maximum after fewer doublings.
constexpr int maxDoublings = 16;

} // namespace

struct DirectorySubscriber::Impl : std::enable_shared_from_this<Impl>
{
    Impl(SubscriberOptions options, DirectoryPollClient &pollClient, TimerService &timers,
         const Clock &clock)
        : options(std::move(options))
        , pollClient(pollClient)
        , timers(timers)
        , clock(clock)
        , random(stableHash(this->options.instance))
    {}

    void sendPoll()
    {
        wire::PollChangesRequest request;
        absl::Time sentAt;
        {
            absl::MutexLock lock(&mutex);
            if (stopped)
                return;
            ++activePollCalls;
            timer = 0;
            sentAt = clock.now();
            request.afterRevision = current->revision();
        }
        request.instance = options.instance;
        request.waitMs = absl::ToInt64Milliseconds(options.pollWait);
        const std::weak_ptr<Impl> self = weak_from_this();
        pollClient.poll(request, options.pollTimeout,
                        [self, sentAt](const Outcome<wire::PollChangesResponse> &outcome) {
                            if (const std::shared_ptr<Impl> impl = self.lock())
                                impl->handleResponse(sentAt, outcome);
                        });
        absl::MutexLock lock(&mutex);
        --activePollCalls;
        idle.SignalAll();
    }

    void handleResponse(absl::Time sentAt, const Outcome<wire::PollChangesResponse> &outcome)
    {
        if (!beginResponse())
            return;
        const Outcome<DirectoryView> next = nextView(outcome);
        if (next.ok()) {
            publish(sentAt, next.value());
            schedule(sentAt + options.minPollInterval - clock.now());
        } else {
            schedule(backoff(next.failure()));
        }
        endResponse();
    }

    /// Returns false after stop(). Otherwise, until endResponse(), only this thread changes the
    /// view.
    bool beginResponse()
    {
        absl::MutexLock lock(&mutex);
        if (stopped)
            return false;
        handlerThread = std::this_thread::get_id();
        return true;
    }

    void endResponse()
    {
        bool pollNow = false;
        {
            absl::MutexLock lock(&mutex);
            handlerThread = std::thread::id();
            idle.SignalAll();
            pollNow = std::exchange(pollAfterResponse, false);
        }
        if (pollNow)
            sendPoll();
    }

    Outcome<DirectoryView> nextView(const Outcome<wire::PollChangesResponse> &outcome)
    {
        if (!outcome.ok())
            return outcome.failure();
        const std::shared_ptr<const DirectoryView> view = currentView();
        const std::uint64_t revision = outcome.value().revision;
        if (revision < view->revision()) {
            return notRun(ErrorCode::StaleRevision,
                          concat("the response has revision ", revision,
                                 ", but the view has revision ", view->revision()));
        }
        return outcomeOf([&] { return view->withChanges(outcome.value()); });
    }

    void publish(absl::Time sentAt, const DirectoryView &next)
    {
        std::shared_ptr<const DirectoryView> published;
        {
            absl::MutexLock lock(&mutex);
            consecutiveFailures = 0;
            lastSuccessfulPollSentAt = std::max(lastSuccessfulPollSentAt, sentAt);
            if (next.revision() == current->revision())
                return;
            current = std::make_shared<const DirectoryView>(next);
            published = current;
        }
        for (const Listener &listener : listeners)
            listener(published);
    }

    absl::Duration backoff(const Failure &failure)
    {
        absl::MutexLock lock(&mutex);
        const int doublings = std::min(consecutiveFailures, maxDoublings);
        ++consecutiveFailures;
        log(LogLevel::Warning, "directory-poll-failed",
            {{"revision", current->revision()},
             {"code", name(failure.code)},
             {"detail", failure.detail},
             {"failures", consecutiveFailures}});
        const absl::Duration limit =
                std::min(options.maxBackoff, options.minBackoff * (1 << doublings));
        return limit * std::uniform_real_distribution<double>(0.5, 1)(random);
    }

    /// Sends the next poll after \a delay, or from endResponse() when the delay is not positive.
    void schedule(absl::Duration delay)
    {
        absl::MutexLock lock(&mutex);
        if (stopped)
            return;
        if (delay <= absl::ZeroDuration()) {
            pollAfterResponse = true;
            return;
        }
        const std::weak_ptr<Impl> self = weak_from_this();
        timer = timers.subscribeOnce(delay, [self] {
            if (const std::shared_ptr<Impl> impl = self.lock())
                impl->sendPoll();
        });
    }

    std::shared_ptr<const DirectoryView> currentView() const
    {
        absl::MutexLock lock(&mutex);
        return current;
    }

    void stop()
    {
        TimerService::TimerId pending = 0;
        {
            absl::MutexLock lock(&mutex);
            stopped = true;
            // A listener that calls stop() runs inside handleResponse(), so it must not wait for
            // the end of that function.
            const bool fromListener = handlerThread == std::this_thread::get_id();
            while (!fromListener && (activePollCalls > 0 || handlerThread != std::thread::id()))
                idle.Wait(&mutex);
            pending = std::exchange(timer, 0);
        }
        if (pending != 0)
            timers.unsubscribe(pending);
    }

    const SubscriberOptions options;
    DirectoryPollClient &pollClient;
    TimerService &timers;
    const Clock &clock;
    /// Not changed after start().
    std::vector<Listener> listeners;
    mutable absl::Mutex mutex;
    /// Signalled when a call of pollClient.poll() or handleResponse() ends.
    absl::CondVar idle;
    std::shared_ptr<const DirectoryView>
            current ABSL_GUARDED_BY(mutex) = std::make_shared<const DirectoryView>();
    /// Time at which the last successful poll was sent.
    absl::Time lastSuccessfulPollSentAt ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
    /// Thread that runs handleResponse(); a default-constructed id when there is none.
    std::thread::id handlerThread ABSL_GUARDED_BY(mutex);
    /// Calls of pollClient.poll() that have not returned.
    int activePollCalls ABSL_GUARDED_BY(mutex) = 0;
    TimerService::TimerId timer ABSL_GUARDED_BY(mutex) = 0;
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
    int consecutiveFailures ABSL_GUARDED_BY(mutex) = 0;
    /// Whether endResponse() sends the next poll.
    bool pollAfterResponse ABSL_GUARDED_BY(mutex) = false;
    bool stopped ABSL_GUARDED_BY(mutex) = false;
};

DirectorySubscriber::DirectorySubscriber(SubscriberOptions options, DirectoryPollClient &pollClient,
                                         TimerService &timers, const Clock &clock)
    : m_impl(std::make_shared<Impl>(std::move(options), pollClient, timers, clock))
{}

DirectorySubscriber::~DirectorySubscriber()
{
    stop();
}

void DirectorySubscriber::start()
{
    m_impl->sendPoll();
}

void DirectorySubscriber::stop()
{
    m_impl->stop();
}

std::shared_ptr<const DirectoryView> DirectorySubscriber::view() const
{
    return m_impl->currentView();
}

absl::Duration DirectorySubscriber::viewAge() const
{
    absl::MutexLock lock(&m_impl->mutex);
    return m_impl->clock.now() - m_impl->lastSuccessfulPollSentAt;
}

void DirectorySubscriber::onChange(Listener listener)
{
    m_impl->listeners.push_back(std::move(listener));
}

} // namespace rattanrill::directory
