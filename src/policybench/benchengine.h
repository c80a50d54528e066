#pragma once

#include "benchloop.h"
#include "benchscenario.h"

#include "rattanrill/policy/enginestate.h"
#include "rattanrill/policy/prefixindex.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanrill::policy::bench {

/// One try as an engine runs it.
struct EngineTry
{
    TaskId task = 0;
    int attempt = 0;
    int entry = 0;
    TaskKind kind = TaskKind::Online;
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    std::int64_t delivered = 0;
    std::uint64_t prefix = 0;
    std::int64_t prefixTokens = 0;
    bool imported = false;
    bool poison = false;

    // Set by the engine
    std::int64_t prefillLeft = 0;
    absl::Time submittedAt;
    absl::Time lastTokenAt;
    bool cancelled = false;
    bool exportKv = false;
};

/// Receives what an engine does, at the time it does it; delays are the receiver's matter.
class EngineListener
{
public:
    virtual ~EngineListener() = default;

    virtual void admitted(int engine, const EngineTry &run) = 0;
    virtual void firstToken(int engine, const EngineTry &run) = 0;
    virtual void token(int engine, const EngineTry &run, absl::Duration gap) = 0;
    virtual void finished(int engine, const EngineTry &run) = 0;
    virtual void cancelled(int engine, const EngineTry &run) = 0;
    virtual void crashed(int engine, const std::vector<EngineTry> &lost) = 0;
    /// The engine is not there.
    virtual void refused(int engine, const EngineTry &run) = 0;
    virtual void cacheEvent(int engine, const CacheEvent &event) = 0;
};

/// Model of an engine with continuous batching: requests wait in order of arrival for one of
/// maxBatch places; each step prefills up to a chunk in order of admission and decodes one token
/// of every other answer; its time grows with answers, context and prefilled tokens.
class BenchEngine
{
public:
    BenchEngine(int index, const EngineModel &model, BenchLoop &loop, EngineListener &listener);

    void submit(EngineTry run);
    /// Takes effect at the end of the current step, or at once for waiting work.
    void cancel(TaskId task, int attempt, bool exportKv);
    /// Loses all work. Comes back after \a restart unless that is infinite.
    void crash(absl::Duration restart);

    bool alive() const { return m_alive; }
    EngineLoad load() const;
    const std::vector<EngineTry> &running() const { return m_running; }
    std::int64_t prefilledTokens() const { return m_prefilledTokens; }
    std::int64_t decodedTokens() const { return m_decodedTokens; }
    absl::Duration longestStep() const { return m_longestStep; }

private:
    void admit();
    void beginStep();
    void endStep();
    void prefill(std::int64_t tokens);
    void emitTokens();
    void storePrefix(const EngineTry &run);
    void publish(CacheEvent::Kind kind, std::uint64_t prefix, std::int64_t tokens);

    int m_index;
    const EngineModel &m_model;
    BenchLoop &m_loop;
    EngineListener &m_listener;
    bool m_alive = true;
    bool m_stepping = false;
    std::uint64_t m_epoch = 0;
    std::deque<EngineTry> m_waiting;
    std::vector<EngineTry> m_running;
    std::int64_t m_kvTokens = 0;
    std::int64_t m_prefilledTokens = 0;
    std::int64_t m_decodedTokens = 0;
    absl::Duration m_longestStep;
    /// Cached prefixes, most recently used first, with their tokens.
    std::list<std::pair<std::uint64_t, std::int64_t>> m_prefixes;
    std::int64_t m_prefixTokens = 0;
    std::uint64_t m_nextSequence = 1;
};

} // namespace rattanrill::policy::bench
