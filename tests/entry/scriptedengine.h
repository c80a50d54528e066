#pragma once

#include "rattanrill/base/json.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// A request that a scripted engine or service has received.
struct RecordedRequest
{
    std::string path;
    /// Request target, body and all headers as one text.
    std::string rawText;
    Json body;
};

/// HTTP server in the test process that behaves like a model engine or a plain service and injects
/// the faults that its script selects. Tokens are those of docs/upstream-protocol.md.
class ScriptedEngine
{
public:
    struct Script
    {
        /// The server closes the connection of a stream after this number of tokens of an attempt.
        std::optional<std::uint64_t> disconnectAfter;
        /// A stream pauses before the token with this index until resume() or a cancellation. A
        /// service call pauses until resume().
        std::optional<std::uint64_t> pauseAt;
        /// Number of attempts to which disconnectAfter still applies.
        int disconnects = 0;
        /// Responses carry the id of another request.
        bool wrongRequestId = false;
        /// Each token is sent twice.
        bool repeatTokens = false;
        /// Attempts that continue an answer get this response body with status 500; off when empty.
        std::string failResumed;
        /// Completions are refused as not run.
        bool refuse = false;
        /// The service breaks off its response after it has read the request.
        bool abortResponses = false;
        /// Two of three completions and service calls get status 500, at once. Three in a row would
        /// eject an engine for its consecutive failures.
        bool failInPart = false;
        /// Responses announce that the upstream leaves.
        bool leaving = false;
        /// Health checks get no response until resume().
        bool pauseHealthChecks = false;
        /// Batch capacity in load reports.
        int maxBatch = 8;
    };

    ScriptedEngine();
    ~ScriptedEngine();

    int port() const;
    void setScript(const Script &script) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Lets paused streams and later ones continue.
    void resume() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Simulates a crash: stops listening first and then breaks the open streams.
    void stop() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<RecordedRequest> requests() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Number of completions and service calls received; excludes load reports, health checks and
    /// cancellations.
    std::size_t runs() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until the entry has handled a response that announces that the upstream leaves;
    /// returns false when a time limit passes first.
    bool awaitAnnouncement() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until runs() is at least \a count; returns false when a time limit passes first.
    bool awaitRuns(std::size_t count) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until a cancellation was received; returns false when a time limit passes first.
    bool awaitCancel() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Http;
    struct Stream;

    void addRoutes();
    void awaitResume() ABSL_LOCKS_EXCLUDED(m_mutex);
    void awaitHealthChecks() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Counts a completion or service call; returns true when it gets status 500.
    bool failsNow(const Script &script) ABSL_LOCKS_EXCLUDED(m_mutex);
    bool next(Stream &stream, std::string &events);
    bool canContinue(const Stream &stream) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    Script m_script ABSL_GUARDED_BY(m_mutex);
    std::vector<RecordedRequest> m_requests ABSL_GUARDED_BY(m_mutex);
    std::size_t m_runs ABSL_GUARDED_BY(m_mutex) = 0;
    /// Number of requests received while the script has failInPart.
    std::uint64_t m_failInPartRequests ABSL_GUARDED_BY(m_mutex) = 0;
    /// Number of load reports that announce that the upstream leaves.
    std::size_t m_announcements ABSL_GUARDED_BY(m_mutex) = 0;
    /// Number of open streams.
    std::int64_t m_running ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
    std::map<std::string, bool> m_cancelled ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<Http> m_http;
};

/// Token \a index of the answer to \a prompt.
std::string expectedToken(const std::string &prompt, std::uint64_t index);
/// First \a tokens tokens of the answer to \a prompt.
std::string expectedText(const std::string &prompt, std::uint64_t tokens);

} // namespace rattanrill::entry
