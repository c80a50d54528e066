#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/http/serversetup.h"
#include "rattanrill/policy/scheduler.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::entry {

/// Limits and intervals for batch files and batch items.
struct BatchSettings
{
    /// Maximum number of items of a batch file.
    std::size_t maxItems = 290000;
    std::size_t maxLineBytes = 1u << 20;
    std::size_t maxFileBytes = 1u << 30;
    /// Time for which an item is leased. Leases of running items are renewed.
    absl::Duration leaseDuration = absl::Seconds(5);
    absl::Duration dispatchInterval = absl::Milliseconds(50);
    /// Maximum number of items leased at the same time. Limits the number of threads and the work
    /// that another entry must repeat after a crash.
    std::size_t maxRunning = 128;
};

/// Intervals, timeouts and other time limits of an entry instance.
struct Timings
{
    /// Maximum age of the directory view; requests with an API key are refused when it is older.
    absl::Duration keyFreshness = absl::Seconds(3);
    /// Running streams are aborted when the directory view has been older than keyFreshness for
    /// this long.
    absl::Duration staleStreamLimit = absl::Seconds(10);
    /// A rate owner grants requests only while its directory view is younger than this.
    absl::Duration ownerLease = absl::Seconds(2);
    absl::Duration heartbeatInterval = absl::Seconds(1);
    absl::Duration loadPollInterval = absl::Milliseconds(200);
    /// Maximum delay until a rate grant may be used; a request that would be delayed longer is
    /// refused. Part of the budget of 410 ms for the time to first token.
    absl::Duration maxRateWait = absl::Milliseconds(150);
    /// Timeout of one call to the rate owner.
    absl::Duration grantTimeout = absl::Milliseconds(300);
    /// Timeout of one call to the control instances.
    absl::Duration controlTimeout = absl::Seconds(5);
    /// Maximum run time of one request, including all attempts.
    absl::Duration requestTimeout = absl::Minutes(10);
    /// An engine stream on which no event arrives for this long is considered broken.
    absl::Duration engineIdleTimeout = absl::Seconds(10);
    /// After SIGTERM, new requests are still served for this long, so that the load balancer can
    /// first stop sending requests to this instance.
    absl::Duration drainNotice = absl::Milliseconds(500);
    /// Maximum time for running requests to finish during shutdown.
    absl::Duration drainLimit = absl::Minutes(10);
    /// How long the claim of a non-idempotent request is kept.
    absl::Duration claimRetention = absl::Hours(24);
};

/// Settings of one entry instance; docs/settings/rattanrill-entry.md describes each.
struct EntrySettings
{
    std::string instance;
    std::string failureDomain;
    std::string httpHost;
    int httpPort = 0;
    http::ServerOptions http;
    std::size_t maxRequestBytes = 8u << 20;
    std::string peerHost;
    int peerPort = 0;
    std::string clusterSecret;
    std::vector<std::string> control;
    int partitions = 1;
    BatchSettings batch;
    Timings timings;
    policy::SchedulerSettings scheduler;
};

/// JSON schema of the settings file.
std::string_view entrySettingsSchema();

/// Checks constraints that the schema cannot express. Fails with InvalidSetting.
Result<void> checkEntrySettings(const Json &settings, const std::string &source);

/// Converts settings that passed the schema. Fails with InvalidSetting when the file of the cluster
/// secret cannot be read.
Outcome<EntrySettings> readEntrySettings(const Json &settings);

} // namespace rattanrill::entry
