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

/// One attempt at a task, as an engine runs it.
struct EngineAttempt
{
    TaskId task = 0;
    int attempt = 0;
    int entry = 0;
    TaskKind kind = TaskKind::Online;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
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

/// Receives the events of engines when they occur. The listener adds the network delays.
class EngineListener
{
public:
    virtual ~EngineListener() = default;

    virtual void admitted(int engine, const EngineAttempt &run) = 0;
    virtual void firstToken(int engine, const EngineAttempt &run) = 0;
    virtual void token(int engine, const EngineAttempt &run, absl::Duration gap) = 0;
    virtual void finished(int engine, const EngineAttempt &run) = 0;
    virtual void cancelled(int engine, const EngineAttempt &run) = 0;
    virtual void crashed(int engine, const std::vector<EngineAttempt> &lost) = 0;
    /// Called when an attempt is submitted to an engine that is down.
    virtual void refused(int engine, const EngineAttempt &run) = 0;
    virtual void cacheEvent(int engine, const CacheEvent &event) = 0;
};

/// Model of an engine with continuous batching. Requests wait in order of arrival for one of
/// maxBatch slots. Each step prefills up to one chunk of tokens in order of admission and decodes
/// one token of every request whose prefill is complete. The duration of a step grows with the
/// number of decoding requests, context tokens and prefilled tokens.
class BenchEngine
{
public:
    BenchEngine(int index, const EngineModel &model, BenchLoop &loop, EngineListener &listener);

    void submit(EngineAttempt run);
    /// Takes effect at the end of the current step, or at once for an attempt that is still
    /// waiting.
    void cancel(TaskId task, int attempt, bool exportKv);
    /// Loses all attempts and the prefix cache. The engine is up again after \a restartTime unless
    /// that is infinite.
    void crash(absl::Duration restartTime);

    bool alive() const { return m_alive; }
    EngineLoad load() const;
    const std::vector<EngineAttempt> &running() const { return m_running; }
    std::int64_t prefilledTokens() const { return m_prefilledTokens; }
    std::int64_t decodedTokens() const { return m_decodedTokens; }
    absl::Duration longestStep() const { return m_longestStep; }

private:
    void admit();
    void beginStep();
    void endStep();
    void prefill(std::int64_t tokens);
    void emitTokens();
    void storePrefix(const EngineAttempt &run);
    void publish(CacheEvent::Kind kind, std::uint64_t prefix, std::int64_t tokens);

    int m_index;
    const EngineModel &m_model;
    BenchLoop &m_loop;
    EngineListener &m_listener;
    bool m_alive = true;
    bool m_stepping = false;
    std::uint64_t m_epoch = 0;
    std::deque<EngineAttempt> m_waiting;
    std::vector<EngineAttempt> m_running;
    std::int64_t m_kvTokens = 0;
    std::int64_t m_prefilledTokens = 0;
    std::int64_t m_decodedTokens = 0;
    absl::Duration m_longestStep;
    /// Cached prefixes with their lengths in tokens, most recently used first.
    std::list<std::pair<std::uint64_t, std::int64_t>> m_prefixes;
    std::int64_t m_prefixTokens = 0;
    std::uint64_t m_nextSequence = 1;
};

} // namespace rattanrill::policy::bench
