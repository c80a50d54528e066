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

struct BatchSettings
{
    std::size_t maxItems = 290000;
    std::size_t maxLineBytes = 1u << 20;
    std::size_t maxFileBytes = 1u << 30;
    absl::Duration lease = absl::Seconds(5);
    absl::Duration dispatchInterval = absl::Milliseconds(50);
    /// Items held at once; bounds threads and what another entry has to repeat after a crash.
    std::size_t maxRunning = 128;
};

struct Timings
{
    /// Keyed requests are refused when the view is older.
    absl::Duration keyFreshness = absl::Seconds(3);
    /// Running streams end when the view has been stale for this long.
    absl::Duration staleStreamLimit = absl::Seconds(10);
    /// A rate owner grants only while its view is younger.
    absl::Duration ownerLease = absl::Seconds(2);
    absl::Duration heartbeat = absl::Seconds(1);
    absl::Duration loadPoll = absl::Milliseconds(200);
    /// Longest wait for a rate grant before a refusal; part of the first-token budget of 410 ms.
    absl::Duration rateWait = absl::Milliseconds(150);
    /// Time for one call to the rate owner or the control instances.
    absl::Duration grantTimeout = absl::Milliseconds(300);
    absl::Duration controlTimeout = absl::Seconds(5);
    /// Longest run of one request, all tries included.
    absl::Duration requestTimeout = absl::Minutes(10);
    /// A stream of an engine without any event for this long is broken.
    absl::Duration engineIdle = absl::Seconds(10);
    /// After SIGTERM new requests are still served for this long, so that the load balancer
    /// notices first.
    absl::Duration drainNotice = absl::Milliseconds(500);
    /// Running requests get this long to finish.
    absl::Duration drainLimit = absl::Minutes(10);
    /// How long the claim of a non-idempotent request is kept.
    absl::Duration claimKeep = absl::Hours(24);
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

/// Checks what the schema cannot express. Fails with InvalidSetting.
Result<void> checkEntrySettings(const Json &settings, const std::string &source);

/// Requires settings that passed the schema. Fails with InvalidSetting when the secret's file
/// cannot be read.
Outcome<EntrySettings> readEntrySettings(const Json &settings);

} // namespace rattanrill::entry
