#pragma once

#include "rattanrill/jobs/jobexecutor.h"
#include "rattanrill/serving/eventstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rattanrill::jobs {

/// One item of a job on its way to a result.
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    /// Receives the result, once.
    using Done = std::function<void(wire::ItemResult result)>;

    ItemRun(const JobExecutorContext &context, std::shared_ptr<const wire::JobRecord> job,
            const wire::JobItem &item, Done done);

    /// Goes on after \a progress instead of at the beginning. Before setDeployment().
    void resume(const wire::ItemProgress &progress);
    /// What was produced since the last call of stored(); nothing when that is no event.
    std::optional<wire::ItemProgress> unstored() const;
    /// The store has the output up to \a lastEvent.
    void stored(std::int64_t lastEvent);
    /// The configuration by which the item runs; asks for a place when it has none.
    void setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment);
    /// Ends without a result.
    void stop();

private:
    enum class State {
        /// The configuration lets nothing happen yet.
        Idle,
        Waiting,
        Running,
        BackingOff,
        Ended,
    };

    const serving::Route *route() const;
    void askForPlace();
    void granted(const std::string &upstream, const std::string &address);
    void yielded();
    bool noteHead(const net::ResponseHead &head);
    void noteBody(std::string_view bytes);
    void callEnded(net::CallStatus status);
    void attemptFailed(std::string_view reason, policy::ReleaseReason end);
    void completed();
    void finish(wire::ItemOutcome outcome, std::string_view reason);
    void abandon();
    void armSilenceTimer();
    void leaveUpstream(policy::ReleaseReason reason);
    /// Time for which the item has held places, the present one included.
    absl::Duration served() const;
    /// Ends the count of the present place. One that brought nothing does not count.
    void stopServing();
    void cancelTimer(TimerService::TimerId &timer);

    const JobExecutorContext &m_context;
    const std::shared_ptr<const wire::JobRecord> m_job;
    const wire::JobItem &m_item;
    Done m_done;
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    State m_state = State::Idle;

    std::string m_upstream;
    net::ConnectionPool::CallId m_call = 0;
    net::ResponseHead m_head;
    serving::ResponseInfo m_facts;
    bool m_hasHead = false;
    serving::EventSplitter m_splitter;
    serving::StreamPosition m_position{std::nullopt};
    std::string m_output;
    bool m_hasOutput = false;
    /// Last event whose data the store has, and the length of the output up to it.
    std::int64_t m_storedEvent = -1;
    std::size_t m_storedLength = 0;
    /// Length of the output up to each event that is not stored.
    std::map<std::int64_t, std::size_t> m_lengths;
    /// Time in former places; in the present one since m_grantedAt, once it has brought an event.
    absl::Duration m_served;
    absl::Time m_grantedAt;
    bool m_hasProgressed = false;
    int m_serverErrors = 0;
    int m_brokenTries = 0;
    int m_yields = 0;
    int m_runs = 0;
    TimerService::TimerId m_abandonTimer = 0;
    TimerService::TimerId m_backoffTimer = 0;
    TimerService::TimerId m_silenceTimer = 0;
};

} // namespace rattanrill::jobs
