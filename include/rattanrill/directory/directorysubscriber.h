#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/directory/directorypollclient.h"
#include "rattanrill/directory/directoryview.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanrill::directory {

/// Configuration of a DirectorySubscriber.
struct SubscriberOptions
{
    /// Name of the polling instance.
    std::string instance;
    /// How long the control instance may delay the response to a poll while nothing changes. The
    /// age of the view then varies between this value and twice this value; the latter must stay
    /// well below the owner lease of 2 s.
    absl::Duration pollWait = absl::Milliseconds(400);
    /// A poll fails when there is no response within this time. The value leaves time for an
    /// attempt at another control instance within the owner lease.
    absl::Duration pollTimeout = absl::Seconds(1);
    /// Minimum time between the starts of two polls, so that one response contains a burst of
    /// changes.
    absl::Duration minPollInterval = absl::Milliseconds(20);
    /// Backoff after the first failure. It doubles with each consecutive failure up to maxBackoff
    /// and is multiplied by a random factor from 0.5 to 1.
    absl::Duration minBackoff = absl::Milliseconds(50);
    absl::Duration maxBackoff = absl::Seconds(1);
};

/// Keeps a DirectoryView up to date by long polls, of which only one is open at a time.
class DirectorySubscriber
{
public:
    using Listener = std::function<void(const std::shared_ptr<const DirectoryView> &)>;

    /// \a pollClient, \a timers and \a clock must outlive the subscriber.
    DirectorySubscriber(SubscriberOptions options, DirectoryPollClient &pollClient,
                        TimerService &timers, const Clock &clock);
    ~DirectorySubscriber();
    DirectorySubscriber(const DirectorySubscriber &) = delete;
    DirectorySubscriber &operator=(const DirectorySubscriber &) = delete;

    /// Sends the first poll.
    void start();
    /// Stops polling. When this returns, no listener runs or will run. A call from a listener does
    /// not wait for that listener.
    void stop();

    /// Current view; never null. Empty and with revision 0 before the first response.
    std::shared_ptr<const DirectoryView> view() const;
    /// Time since the last successful poll was sent. The view contains everything that was
    /// committed before that poll was sent. Infinite before the first successful poll.
    absl::Duration viewAge() const;
    /// Registers \a listener, which is called with each new view, in order of revision, on the
    /// thread that receives the response. Must be called before start().
    void onChange(Listener listener);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::directory
