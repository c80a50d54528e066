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

/// What an engine or service has seen.
struct SeenRequest
{
    std::string path;
    /// All headers, query and body as one text.
    std::string everything;
    Json body;
};

/// Small HTTP server in this process that behaves as a model engine or plain service and fails on
/// demand. Tokens are those of docs/upstream-protocol.md.
class ScriptedEngine
{
public:
    struct Script
    {
        /// The connection of a stream ends after this many tokens of a try.
        std::optional<std::uint64_t> cutAfter;
        /// A stream stops before this token until release() or a cancel.
        std::optional<std::uint64_t> holdAt;
        /// The first this many tries are broken by the cut; then it is removed.
        int cuts = 0;
        /// Streams carry another request's id.
        bool crossAnswers = false;
        /// Each token is sent twice.
        bool repeatTokens = false;
        /// Everything is refused as not run.
        bool refuse = false;
        /// Answers of the service are broken off after the request was read.
        bool dropAnswers = false;
        /// Batch capacity that load reports name.
        int maxBatch = 8;
    };

    ScriptedEngine();
    ~ScriptedEngine();

    int port() const;
    void setScript(const Script &script) ABSL_LOCKS_EXCLUDED(m_mutex);
    void release() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Crashes: nothing listens any more, then streams break.
    void stop() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<SeenRequest> seen() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Completions and service calls seen, without load reports and the like.
    std::size_t runs() const ABSL_LOCKS_EXCLUDED(m_mutex);
    bool awaitRuns(std::size_t count) ABSL_LOCKS_EXCLUDED(m_mutex);
    bool awaitCancel() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Http;
    struct Stream;

    void install();
    bool next(Stream &stream, std::string &events);
    bool mayGoOn(const Stream &stream) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    Script m_script ABSL_GUARDED_BY(m_mutex);
    std::vector<SeenRequest> m_seen ABSL_GUARDED_BY(m_mutex);
    std::size_t m_runs ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
    std::map<std::string, bool> m_cancelled ABSL_GUARDED_BY(m_mutex);
    std::unique_ptr<Http> m_http;
};

/// Token \a index of the answer to \a prompt.
std::string expectedToken(const std::string &prompt, std::uint64_t index);
/// First \a tokens tokens of the answer.
std::string expectedText(const std::string &prompt, std::uint64_t tokens);

} // namespace rattanrill::entry
