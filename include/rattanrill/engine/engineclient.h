#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"
#include "rattanrill/engine/abortsignal.h"
#include "rattanrill/engine/streamevents.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::engine {

/// Address and timeouts of an engine.
struct EngineOptions
{
    /// Name of the upstream.
    std::string name;
    std::string host;
    int port = 0;
    absl::Duration connectTimeout = absl::Seconds(1);
    /// A stream that receives no event for this long fails with StreamBroken.
    absl::Duration idleTimeout = absl::Seconds(10);
    /// Timeout of all calls other than stream().
    absl::Duration auxiliaryCallTimeout = absl::Seconds(2);
    /// Called for each response by which the engine announces that it leaves, when the head of the
    /// response has arrived, on the thread of the call. May be null.
    std::function<void()> onLeaving;
};

/// One attempt at a completion.
struct StreamRequest
{
    /// "/v1/completions" or "/v1/chat/completions".
    std::string path;
    /// Body of the caller's request, a JSON object.
    std::string body;
    /// Unique per attempt.
    std::string requestId;
    /// Number of tokens that earlier attempts have delivered to the caller.
    std::uint64_t deliveredTokens = 0;
    /// Handle of the KV export of an earlier attempt; empty for none.
    std::string kvHandle;
    absl::Time deadline = absl::InfiniteFuture();
};

/// Load that an engine reports.
struct EngineLoadReport
{
    /// Number of running requests.
    std::int64_t running = 0;
    /// Number of waiting requests.
    std::int64_t waiting = 0;
    /// Occupied part of the KV cache in tokens.
    std::int64_t kvTokens = 0;
    std::int64_t kvCapacityTokens = 0;
    /// Maximum number of running requests.
    std::int64_t maxBatch = 0;
    /// Age of the figures at the time when the engine sent them.
    absl::Duration ageWhenSent;
};

/// An event of the engine's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    /// True when the prefix was stored, false when it was evicted.
    bool stored = false;
    std::uint64_t prefixHash = 0;
    /// Length of the prefix in tokens.
    std::int64_t tokens = 0;
};

/// Result of one cacheEvents() call.
struct CacheEventPage
{
    std::vector<CacheEvent> events;
    /// Value to pass to the next cacheEvents() call.
    std::uint64_t next = 0;
};

/// A KV cache that an engine exported.
struct ExportedCache
{
    /// For StreamRequest::kvHandle of the next attempt.
    std::string handle;
    /// Number of tokens of the completion at the time of the export.
    std::int64_t tokens = 0;
};

/// Client of one model engine; docs/upstream-protocol.md describes the protocol. Calls block and
/// may be made from several threads at the same time. Each call opens its own connection: a failure
/// to connect then proves that nothing ran, whereas a failure on a reused connection does not.
class EngineClient
{
public:
    using TokenHandler = std::function<void(const Token &token)>;

    explicit EngineClient(EngineOptions options, const Clock &clock = SystemClock::instance());
    ~EngineClient();
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    const EngineOptions &options() const;

    /// Streams a completion and passes each validated token to \a onToken, in order and without
    /// repetition. Fails with UpstreamUnavailable, UpstreamBusy, UnknownModel, InvalidRequest,
    /// UpstreamFailed, StreamBroken, Timeout (the deadline passed) or ClientDisconnected (aborted
    /// through \a abortSignal). A failure is NotRun when it occurred before the request was sent
    /// or when the engine reported that the request did not run, and MayHaveRun otherwise.
    Outcome<StreamSummary> stream(const StreamRequest &request, AbortSignal &abortSignal,
                                  const TokenHandler &onToken);
    /// Requests the engine to end a stream; returns false when the engine has no such stream.
    Outcome<bool> cancel(const std::string &requestId);
    /// Ends a stream and exports its KV cache for a later attempt.
    Outcome<ExportedCache> exportCache(const std::string &requestId);
    Outcome<EngineLoadReport> fetchLoadReport();
    /// Returns the events of the prefix cache with sequence numbers above \a after. The engine may
    /// report events late or omit them.
    Outcome<CacheEventPage> cacheEvents(std::uint64_t after);
    /// Checks that the engine responds. Fails with UpstreamUnavailable when nothing listens at its
    /// address, and with Timeout when the connection is accepted and no response follows in time.
    Outcome<Done> probe();

    /// Number of events that were dropped because they belonged to another request or repeated a
    /// token.
    std::uint64_t droppedEvents() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::engine
