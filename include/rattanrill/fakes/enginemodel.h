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

/// Delays of the simulated engine. A step takes stepBase + stepPerSequence x sequences in the batch
/// + stepPerContextToken x context tokens of the batch + prefillPerToken x uncached context tokens
/// (at least 1 for each request) of the requests that joined in this step. A request that resumes
/// from a KV export costs kvImportPerToken for each imported token instead of prefillPerToken.
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

/// Capacity of the simulated engine.
struct EngineLimits
{
    /// Maximum number of requests in the batch.
    std::int64_t maxBatch = 32;
    /// Maximum number of requests in the queue.
    std::int64_t maxWaiting = 64;
    std::int64_t kvCapacityTokens = 160000;
    std::int64_t prefixCacheTokens = 60000;
};

/// Configuration of an EngineModel.
struct EngineModelSettings
{
    /// Names of the models that are loaded from the start.
    std::vector<std::string> models;
    EngineTimings timings;
    EngineLimits limits;
    /// Probability, from 0 to 1, that a cache event is lost.
    double cacheEventLoss = 0.05;
    /// Whether the engine rejects commands with an outdated fencing token.
    bool checksFence = true;
    std::uint64_t seed = 1;
};

/// A completion request to the simulated engine.
struct EngineRequest
{
    std::string requestId;
    std::string model;
    std::string prompt;
    /// Number of tokens of the complete response, including the first resumeAfter tokens.
    std::int64_t maxTokens = 16;
    /// Number of tokens that earlier attempts delivered; generation continues after them.
    std::int64_t resumeAfter = 0;
    /// Handle of an earlier KV export; empty for none.
    std::string kvHandle;
};

enum class FinishReason {
    Stop,
    Length,
    Cancelled,
};

std::string_view name(FinishReason reason);

/// A change in the state of a request.
struct EngineEvent
{
    enum class Kind {
        Started,
        Token,
        Finished,
    };

    Kind kind = Kind::Token;
    std::string requestId;
    /// In Token events the index of the token, from 0; in Started and Finished events the number of
    /// tokens generated so far, including those of earlier attempts.
    std::int64_t index = 0;
    /// Set in Finished events only.
    FinishReason reason = FinishReason::Length;
};

/// An exported KV cache.
struct KvExport
{
    std::string handle;
    /// Number of tokens generated so far, including those of earlier attempts.
    std::int64_t tokens = 0;
};

/// Simulates a model engine with continuous batching. The model does not read a clock: callers pass
/// the current time. Requests join the batch between two steps, in order of arrival, as long as the
/// batch size and the KV memory permit.
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings);

    /// Queues \a request. Fails, always as NotRun, with UnknownModel, UpstreamBusy (the queue is
    /// full), DuplicateRequest (the request id is in use) or InvalidRequest (the request needs more
    /// KV memory than the engine has).
    Result<void> submit(absl::Time now, EngineRequest request);
    /// Cancels a waiting or running request; returns the number of tokens generated so far,
    /// including those of earlier attempts, or nullopt for an unknown id.
    std::optional<std::int64_t> cancel(absl::Time now, const std::string &requestId);
    /// As cancel(), but also returns a handle with which any engine can resume the request without
    /// prefill.
    std::optional<KvExport> exportKv(absl::Time now, const std::string &requestId);

    /// Completes all steps that end at or before \a now; returns the events since the last call.
    std::vector<EngineEvent> advance(absl::Time now);
    /// End of the current step; InfiniteFuture when the engine is idle.
    absl::Time stepEnd() const { return m_stepEnd; }

    LoadSample load(absl::Time now) const { return m_history.report(now); }
    CacheEventPage cacheEvents(absl::Time now, std::int64_t after) const;
    EngineCommandResult execute(absl::Time now, const EngineCommand &command)
    {
        return m_loadedModels.apply(now, command);
    }
    const EngineModelSettings &settings() const { return m_settings; }

    // Fault injection.

    /// Multiplies the duration of later steps by \a factor.
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// Prevents steps from ending before \a time.
    void freezeUntil(absl::Time time);
    /// Makes crashed() return true once a request starts whose prompt contains \a text. An empty
    /// \a text disables the fault.
    void setCrashOn(std::string text) { m_crashOn = std::move(text); }
    bool crashed() const { return m_crashed; }

private:
    /// A waiting or running request.
    struct Sequence
    {
        EngineRequest request;
        /// Index of the next token.
        std::int64_t next = 0;
        std::int64_t promptTokens = 0;
    };

    static std::int64_t requiredKvTokens(const EngineRequest &request);
    Result<void> checkRequest(absl::Time now, const EngineRequest &request) const;
    bool hasSequence(const std::string &requestId) const;
    std::optional<Sequence> removeSequence(const std::string &requestId);
    std::optional<Sequence> cancelSequence(absl::Time now, const std::string &requestId);
    /// Admits waiting requests and starts a step, unless the batch is still empty then.
    void beginStep(absl::Time at);
    void endStep();
    /// Moves waiting requests to the batch; returns the duration of their prefill and KV import.
    absl::Duration admit(absl::Time at);
    absl::Duration startSequence(absl::Time at, Sequence &sequence);
    absl::Duration decodeTime() const;
    std::int64_t reservedTokens() const;
    void recordLoad(absl::Time now);

    EngineModelSettings m_settings;
    PrefixCache m_cache;
    CacheEventFeed m_cacheEvents;
    LoadHistory m_history;
    LoadedModels m_loadedModels;
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
