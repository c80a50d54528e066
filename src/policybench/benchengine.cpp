#include "benchengine.h"

#include <algorithm>

namespace rattanrill::policy::bench {

BenchEngine::BenchEngine(int index, const EngineModel &model, BenchLoop &loop,
                         EngineListener &listener)
    : m_index(index)
    , m_model(model)
    , m_loop(loop)
    , m_listener(listener)
{}

void BenchEngine::submit(EngineAttempt run)
{
    if (!m_alive) {
        m_listener.refused(m_index, run);
        return;
    }
    run.submittedAt = m_loop.now();
    m_waiting.push_back(run);
    if (!m_stepping)
        beginStep();
}

void BenchEngine::cancel(TaskId task, int attempt, bool exportKv)
{
    const auto matches = [&](const EngineAttempt &run) {
        return run.task == task && run.attempt == attempt;
    };
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), matches);
    if (waiting != m_waiting.end()) {
        const EngineAttempt run = *waiting;
        m_waiting.erase(waiting);
        m_listener.cancelled(m_index, run);
        return;
    }
    const auto running = std::find_if(m_running.begin(), m_running.end(), matches);
    if (running != m_running.end()) {
        running->cancelled = true;
        running->exportKv = exportKv;
    }
}

void BenchEngine::crash(absl::Duration restartTime)
{
    if (!m_alive)
        return;
    m_alive = false;
    m_stepping = false;
    ++m_epoch;
    std::vector<EngineAttempt> lost = std::move(m_running);
    lost.insert(lost.end(), m_waiting.begin(), m_waiting.end());
    m_running.clear();
    m_waiting.clear();
    m_prefixes.clear();
    m_prefixTokens = 0;
    m_kvTokens = 0;
    m_listener.crashed(m_index, lost);
    if (restartTime < absl::InfiniteDuration())
        m_loop.after(restartTime, [this] { m_alive = true; });
}

EngineLoad BenchEngine::load() const
{
    EngineLoad load;
    load.running = static_cast<std::int64_t>(m_running.size());
    load.waiting = static_cast<std::int64_t>(m_waiting.size());
    load.kvTokens = m_kvTokens;
    load.kvCapacityTokens = m_model.kvCapacityTokens;
    load.maxBatch = m_model.maxBatch;
    return load;
}

void BenchEngine::admit()
{
    while (!m_waiting.empty() && static_cast<std::int64_t>(m_running.size()) < m_model.maxBatch) {
        EngineAttempt run = m_waiting.front();
        const std::int64_t context = run.promptTokens + run.delivered;
        if (m_kvTokens + context > m_model.kvCapacityTokens && !m_running.empty())
            return;
        m_waiting.pop_front();
        m_kvTokens += context;
        run.prefillLeft = run.imported ? context / m_model.importSpeed + 1 : context;
        const auto cached =
                std::find_if(m_prefixes.begin(), m_prefixes.end(),
                             [&](const auto &entry) { return entry.first == run.prefix; });
        if (!run.imported && cached != m_prefixes.end())
            run.prefillLeft = std::max<std::int64_t>(context - cached->second, 1);
        m_running.push_back(run);
        m_listener.admitted(m_index, m_running.back());
    }
}

void BenchEngine::beginStep()
{
    admit();
    m_stepping = !m_running.empty();
    if (!m_stepping)
        return;
    std::int64_t prefill = 0;
    for (const EngineAttempt &run : m_running)
        prefill += run.prefillLeft;
    prefill = std::min(prefill, m_model.prefillChunk);
    const auto decoding =
            std::count_if(m_running.begin(), m_running.end(),
                          [](const EngineAttempt &run) { return run.prefillLeft == 0; });
    const absl::Duration time = m_model.stepBase + m_model.perDecodingRequest * decoding
                                + m_model.perContextToken * m_kvTokens
                                + m_model.perPrefillToken * prefill;
    m_longestStep = std::max(m_longestStep, time);
    m_loop.after(time, [this, prefill, epoch = m_epoch] {
        if (epoch != m_epoch)
            return;
        emitTokens();
        this->prefill(prefill);
        if (m_alive)
            endStep();
    });
}

void BenchEngine::endStep()
{
    const auto ended = [&](const EngineAttempt &run) {
        const bool done = run.prefillLeft == 0 && run.delivered >= run.outputTokens;
        if (!done && !run.cancelled)
            return false;
        m_kvTokens -= run.promptTokens + run.delivered;
        if (done)
            m_listener.finished(m_index, run);
        else
            m_listener.cancelled(m_index, run);
        return true;
    };
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(), ended), m_running.end());
    beginStep();
}

void BenchEngine::emitTokens()
{
    for (EngineAttempt &run : m_running) {
        if (run.prefillLeft > 0)
            continue;
        ++run.delivered;
        ++m_kvTokens;
        ++m_decodedTokens;
        m_listener.token(m_index, run, m_loop.now() - run.lastTokenAt);
        run.lastTokenAt = m_loop.now();
    }
}

void BenchEngine::prefill(std::int64_t tokens)
{
    for (EngineAttempt &run : m_running) {
        if (run.prefillLeft == 0 || tokens == 0)
            continue;
        const std::int64_t part = std::min(run.prefillLeft, tokens);
        tokens -= part;
        run.prefillLeft -= part;
        m_prefilledTokens += part;
        if (run.prefillLeft > 0)
            continue;
        if (run.poison) {
            crash(m_model.restartTime);
            return;
        }
        ++run.delivered;
        ++m_kvTokens;
        ++m_decodedTokens;
        run.lastTokenAt = m_loop.now();
        storePrefix(run);
        m_listener.firstToken(m_index, run);
    }
}

void BenchEngine::storePrefix(const EngineAttempt &run)
{
    if (run.prefix == 0)
        return;
    const auto cached = std::find_if(m_prefixes.begin(), m_prefixes.end(),
                                     [&](const auto &entry) { return entry.first == run.prefix; });
    if (cached != m_prefixes.end()) {
        m_prefixes.splice(m_prefixes.begin(), m_prefixes, cached);
        return;
    }
    const std::int64_t tokens = std::min(run.prefixTokens, run.promptTokens);
    m_prefixes.emplace_front(run.prefix, tokens);
    m_prefixTokens += tokens;
    publish(CacheEvent::Kind::Stored, run.prefix, tokens);
    while (m_prefixTokens > m_model.prefixCacheTokens) {
        const auto [prefix, oldTokens] = m_prefixes.back();
        m_prefixes.pop_back();
        m_prefixTokens -= oldTokens;
        publish(CacheEvent::Kind::Evicted, prefix, oldTokens);
    }
}

void BenchEngine::publish(CacheEvent::Kind kind, std::uint64_t prefix, std::int64_t tokens)
{
    m_listener.cacheEvent(m_index, CacheEvent{m_nextSequence++, kind, prefix, tokens});
}

} // namespace rattanrill::policy::bench
