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

struct SubscriberOptions
{
    std::string instance;
    /// How long the control instance may hold a poll. The age of a view swings between this and
    /// twice this, which must stay well below the owner lease of 2 s.
    absl::Duration pollWait = absl::Milliseconds(400);
    /// A poll without an answer after this long has failed; leaves time for a try at another
    /// control instance within the owner lease.
    absl::Duration pollTimeout = absl::Seconds(1);
    /// Time from one poll to the next at least, so that many changes in a row come together.
    absl::Duration minPollInterval = absl::Milliseconds(20);
    /// Wait after the first failure; doubled with each further one, times a random 0.5 to 1.
    absl::Duration minBackoff = absl::Milliseconds(50);
    absl::Duration maxBackoff = absl::Seconds(1);
};

/// Keeps a View up to date by long polls, one at a time.
class DirectorySubscriber
{
public:
    using Listener = std::function<void(const std::shared_ptr<const DirectoryView> &)>;

    /// \a source, \a timers and \a clock must outlive the follower.
    DirectorySubscriber(SubscriberOptions options, DirectoryPollClient &source,
                        TimerService &timers, const Clock &clock);
    ~DirectorySubscriber();
    DirectorySubscriber(const DirectorySubscriber &) = delete;
    DirectorySubscriber &operator=(const DirectorySubscriber &) = delete;

    /// Sends the first poll.
    void start();
    /// After return no listener runs and none will run, unless called from a listener.
    void stop();

    /// Never null; empty with revision 0 before the first answer.
    std::shared_ptr<const DirectoryView> view() const;
    /// Time since the last successfully answered poll was sent: the view holds everything that was
    /// committed by then. Infinite before the first answer.
    absl::Duration age() const;
    /// Calls \a listener with each new view, in order, on the thread of the answer. Call before
    /// start().
    void onChange(Listener listener);

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::directory
