#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/fakes/cacheeventfeed.h"
#include "rattanrill/fakes/loadedmodels.h"
#include "rattanrill/fakes/loadhistory.h"
#include "rattanrill/fakes/prefixcache.h"

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::fakes {

/// Duration of a step = base + perSequence x batch + perContextToken x context tokens
/// + prefillPerToken x prompt tokens that joined in this step.
struct EngineTimings
{
    absl::Duration stepBase = absl::Milliseconds(12);
    absl::Duration stepPerSequence = absl::Microseconds(250);
    absl::Duration stepPerContextToken = absl::Nanoseconds(400);
    absl::Duration prefillPerToken = absl::Microseconds(120);
    absl::Duration kvImportPerToken = absl::Microseconds(3);
    absl::Duration modelLoad = absl::Seconds(2);
    absl::Duration loadReportLag = absl::Milliseconds(500);
    absl::Duration cacheEventDelay = absl::Milliseconds(800);
};

struct EngineLimits
{
    std::int64_t maxBatch = 32;
    std::int64_t maxWaiting = 64;
    std::int64_t kvCapacityTokens = 160000;
    std::int64_t prefixCacheTokens = 60000;
};

struct EngineModelSettings
{
    std::vector<std::string> models;
    EngineTimings timings;
    EngineLimits limits;
    double cacheEventLoss = 0.05;
    bool checksFence = true;
    std::uint64_t seed = 1;
};

struct EngineRequest
{
    std::string requestId;
    std::string model;
    std::string prompt;
    /// Tokens of the whole answer, including those before resumeAfter.
    std::int64_t maxTokens = 16;
    std::int64_t resumeAfter = 0;
    /// Empty, or of an earlier export.
    std::string kvHandle;
};

enum class FinishReason {
    Stop,
    Length,
    Cancelled,
};

std::string_view name(FinishReason reason);

/// What happened to a request. Token events carry the token's index, Finished events the number of
/// tokens of the whole answer so far.
struct EngineEvent
{
    enum class Kind {
        Started,
        Token,
        Finished,
    };

    Kind kind = Kind::Token;
    std::string requestId;
    std::int64_t index = 0;
    FinishReason reason = FinishReason::Length;
};

struct KvExport
{
    std::string handle;
    std::int64_t tokens = 0;
};

/// A model engine with continuous batching as a pure simulation: time comes in as an argument. One
/// step loop; requests join in order of arrival while the batch and the KV memory have room.
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);

    /// Queues \a request. Fails as not run with UnknownModel, UpstreamBusy (queue full),
    /// DuplicateRequest (id in use) or InvalidRequest (needs more KV memory than there is).
    Result<void> submit(absl::Time now, EngineRequest request);
    /// Ends a request; returns the tokens of its answer so far, nothing for an unknown id.
    std::optional<std::int64_t> cancel(absl::Time now, const std::string &requestId);
    /// As cancel(), and returns a handle with which any engine resumes without prefill.
    std::optional<KvExport> exportKv(absl::Time now, const std::string &requestId);

    /// Completes the steps that end by \a now; returns the events since the last call.
    std::vector<EngineEvent> advance(absl::Time now);
    /// End of the current step; InfiniteFuture when idle.
    absl::Time nextEvent() const { return m_stepEnd; }

    EngineLoad load(absl::Time now) const { return m_history.report(now); }
    CacheEventPage cacheEvents(absl::Time now, std::int64_t after) const;
    OrderAnswer order(absl::Time now, const Order &order) { return m_orders.apply(now, order); }
    const EngineModelSettings &settings() const { return m_settings; }

    // Faults.
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// No step ends before \a time.
    void freezeUntil(absl::Time time);
    /// crashed() turns true when a request whose prompt contains \a text starts; empty: never.
    void setCrashOn(std::string text) { m_crashOn = std::move(text); }
    bool crashed() const { return m_crashed; }

private:
    struct Sequence
    {
        EngineRequest request;
        std::int64_t next = 0;
        std::int64_t promptTokens = 0;
    };

    static std::int64_t kvNeed(const EngineRequest &request);
    Result<void> checkRequest(absl::Time now, const EngineRequest &request) const;
    bool isKnown(const std::string &requestId) const;
    std::optional<Sequence> remove(const std::string &requestId);
    std::optional<Sequence> end(absl::Time now, const std::string &requestId);
    /// Admits waiting requests and starts a step unless the batch stays empty.
    void beginStep(absl::Time at);
    void endStep();
    absl::Duration admit(absl::Time at);
    absl::Duration start(absl::Time at, Sequence &sequence);
    absl::Duration decodeTime() const;
    std::int64_t reservedTokens() const;
    void recordLoad(absl::Time now);

    EngineModelSettings m_settings;
    PrefixCache m_cache;
    CacheEventFeed m_cacheEvents;
    LoadHistory m_history;
    LoadedModels m_orders;
    std::deque<Sequence> m_waiting;
    std::vector<Sequence> m_running;
    std::vector<EngineEvent> m_events;
    absl::Time m_stepEnd = absl::InfiniteFuture();
    absl::Time m_frozenUntil = absl::InfinitePast();
    double m_slowFactor = 1;
    std::string m_crashOn;
    bool m_crashed = false;
};

} // namespace rattanrill::fakes
