#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/serving/slotbroker.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::serving {

/// An entry's shares of the rate buckets, which it grants from while the broker can't be reached.
///
/// A workspace's bucket has one holder, the broker. Each of its responses tells the level. When the
/// broker is lost, the bucket is divided: each entry takes an equal share of the level that it
/// heard last. An entry that has heard of no level lately takes the share with which a local broker
/// starts, since others may have used the burst. The next broker starts as if all entries had that
/// share, and each entry reports by how much its own differs, so that the shares together are one
/// bucket again. Used on the event loop only.
class RateShares
{
public:
    /// \a localBroker, which grants from the shares, outlives this object.
    RateShares(const Clock &clock, SlotBroker &localBroker);

    /// Records that the broker's bucket of \a workspace has \a level requests.
    void recordLevel(const std::string &workspace, double level);
    /// Takes the shares, unless they are taken and in use. Must be called before each grant of the
    /// local broker.
    void take();
    /// Records that a request was granted from the share of \a workspace.
    void recordGrant(const std::string &workspace);
    /// Notifies that another broker follows, which charges no requests granted without the former.
    void handleNewBroker();
    /// Returns the report to the broker and gives the shares back.
    std::vector<wire::RateCharge> giveBack();
    /// Keeps a report that the broker did not receive for the next one.
    void keep(const std::vector<wire::RateCharge> &charges, absl::Time reportedAt);

private:
    /// What the next report says of a workspace.
    struct Report
    {
        /// Requests that were granted and not reported.
        std::int64_t requests = 0;
        absl::Time firstGrantedAt = absl::InfiniteFuture();
        /// See wire::RateCharge.
        double levelChange = 0;
        absl::Time levelAt = absl::InfinitePast();
    };

    bool isKnown(const std::string &workspace) const;
    void recordShares();

    const Clock &m_clock;
    SlotBroker &m_localBroker;
    /// Times at which levels were recorded, by workspace.
    std::map<std::string, absl::Time> m_recordedAt;
    /// By workspace.
    std::map<std::string, Report> m_reports;
    bool m_isTaken = false;
    absl::Time m_takenAt = absl::InfinitePast();
    /// Time of the last call of take().
    absl::Time m_usedAt = absl::InfinitePast();
};

} // namespace rattanrill::serving
