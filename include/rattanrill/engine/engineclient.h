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

struct EngineOptions
{
    std::string name;
    std::string host;
    int port = 0;
    absl::Duration connectTimeout = absl::Seconds(1);
    /// A stream without any event for this long is broken.
    absl::Duration idleTimeout = absl::Seconds(10);
    /// For cancel, export and load.
    absl::Duration auxiliaryCallTimeout = absl::Seconds(2);
};

/// One try of a completion.
struct StreamRequest
{
    /// "/v1/completions" or "/v1/chat/completions".
    std::string path;
    /// JSON object of the caller's request.
    std::string body;
    /// Unique per try.
    std::string requestId;
    /// Tokens already delivered by earlier tries.
    std::uint64_t deliveredTokens = 0;
    /// Of a KV export by an earlier try; may be empty.
    std::string kvHandle;
    absl::Time deadline = absl::InfiniteFuture();
};

struct EngineLoadReport
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t kvTokens = 0;
    std::int64_t kvCapacityTokens = 0;
    std::int64_t maxBatch = 0;
    /// How old the figures were when the engine sent them.
    absl::Duration ageWhenSent;
};

/// An event of the engine's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    /// Otherwise evicted.
    bool stored = false;
    std::uint64_t prefixHash = 0;
    std::int64_t tokens = 0;
};

struct CacheEventPage
{
    std::vector<CacheEvent> events;
    /// To pass as \a after next time.
    std::uint64_t next = 0;
};

struct ExportedCache
{
    std::string handle;
    std::int64_t tokens = 0;
};

/// Client of one model engine; the protocol is in docs/upstream-protocol.md. Calls block; they may
/// run at the same time from several threads. Each call uses a connection of its own: a failure to
/// connect then proves that nothing ran, which a reused connection could not prove.
class EngineClient
{
public:
    using TokenHandler = std::function<void(const Token &token)>;

    explicit EngineClient(EngineOptions options, const Clock &clock = SystemClock::instance());
    ~EngineClient();
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    const EngineOptions &options() const;

    /// Streams a completion and passes each checked token to \a onToken, in order and without
    /// repetition. Fails with UpstreamUnavailable or UpstreamBusy (NotRun), UnknownModel,
    /// InvalidRequest, UpstreamFailed, StreamBroken, Timeout (deadline) or ClientDisconnected
    /// (aborted by \a cancellation), which are MayHaveRun unless the engine said otherwise.
    Outcome<StreamSummary> stream(const StreamRequest &request, AbortSignal &cancellation,
                                  const TokenHandler &onToken);
    /// Asks the engine to end a stream; returns whether the engine knew it.
    Outcome<bool> cancel(const std::string &requestId);
    /// Ends a stream and keeps its KV cache for a later try.
    Outcome<ExportedCache> exportCache(const std::string &requestId);
    Outcome<EngineLoadReport> load();
    /// Events of the prefix cache after number \a after; they come late and with gaps.
    Outcome<CacheEventPage> cacheEvents(std::uint64_t after);
    /// Whether the engine answers at all. UpstreamUnavailable means that nothing listens there.
    Outcome<Done> probe();

    /// Events dropped because they belonged to another request or repeated a token.
    std::uint64_t droppedEvents() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::engine
