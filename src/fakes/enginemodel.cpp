#include "rattanrill/fakes/enginemodel.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/fakes/answer.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace rattanrill::fakes {
namespace {

constexpr std::array<EnumName<FinishReason>, 3> finishReasonNames = {{
        {FinishReason::Stop, "stop"},
        {FinishReason::Length, "length"},
        {FinishReason::Cancelled, "cancelled"},
}};

constexpr std::string_view handlePrefix = "kv:";

/// Returns a handle that contains the hash of the prompt and the number of tokens, so that an
/// engine in another process can validate and import it.
std::string kvHandle(std::string_view prompt, std::int64_t tokens)
{
    return concat(handlePrefix, hashText(prompt), ":", tokens);
}

/// Number of response tokens that \a request can import; nullopt when its handle is empty or
/// belongs to another prompt.
std::optional<std::int64_t> importableTokens(const EngineRequest &request)
{
    const std::string expected = concat(handlePrefix, hashText(request.prompt), ":");
    if (request.kvHandle.compare(0, expected.size(), expected) != 0)
        return std::nullopt;
    const std::int64_t tokens = std::atoll(request.kvHandle.c_str() + expected.size());
    return std::min(tokens, request.resumeAfter);
}

} // namespace

std::string_view name(FinishReason reason)
{
    return nameOf(finishReasonNames, reason);
}

EngineModel::EngineModel(EngineModelSettings settings)
    : m_settings(std::move(settings))
    , m_cache(m_settings.limits.prefixCacheTokens)
    , m_cacheEvents(m_settings.timings.cacheEventDelay, m_settings.cacheEventLoss, m_settings.seed)
    , m_history(m_settings.timings.loadReportLag)
    , m_loadedModels(m_settings.models, m_settings.checksFence, m_settings.timings.modelLoad)
{}

Result<void> EngineModel::submit(absl::Time now, EngineRequest request)
{
    BOOST_LEAF_CHECK(checkRequest(now, request));
    Sequence sequence;
    sequence.next = request.resumeAfter;
    sequence.promptTokens = fakes::promptTokens(request.prompt.size());
    sequence.request = std::move(request);
    m_waiting.push_back(std::move(sequence));
    if (m_running.empty())
        beginStep(now);
    recordLoad(now);
    return {};
}

std::optional<std::int64_t> EngineModel::cancel(absl::Time now, const std::string &requestId)
{
    const std::optional<Sequence> sequence = cancelSequence(now, requestId);
    if (!sequence)
        return std::nullopt;
    return sequence->next;
}

std::optional<KvExport> EngineModel::exportKv(absl::Time now, const std::string &requestId)
{
    const std::optional<Sequence> sequence = cancelSequence(now, requestId);
    if (!sequence)
        return std::nullopt;
    return KvExport{kvHandle(sequence->request.prompt, sequence->next), sequence->next};
}

std::vector<EngineEvent> EngineModel::advance(absl::Time now)
{
    while (m_stepEnd <= now && !m_crashed) {
        const absl::Time at = m_stepEnd;
        endStep();
        beginStep(at);
        recordLoad(at);
    }
    return std::exchange(m_events, {});
}

CacheEventPage EngineModel::cacheEvents(absl::Time now, std::int64_t after) const
{
    return m_cacheEvents.poll(now, after);
}

void EngineModel::freezeUntil(absl::Time time)
{
    m_frozenUntil = time;
    if (m_stepEnd != absl::InfiniteFuture())
        m_stepEnd = std::max(m_stepEnd, time);
}

std::int64_t EngineModel::requiredKvTokens(const EngineRequest &request)
{
    return fakes::promptTokens(request.prompt.size()) + request.maxTokens;
}

Result<void> EngineModel::checkRequest(absl::Time now, const EngineRequest &request) const
{
    if (!m_loadedModels.isLoaded(now, request.model))
        return fail(notRun(ErrorCode::UnknownModel,
                           concat("model \"", request.model, "\" is not loaded")));
    if (hasSequence(request.requestId))
        return fail(notRun(ErrorCode::DuplicateRequest,
                           concat("request id \"", request.requestId, "\" is in use")));
    if (requiredKvTokens(request) > m_settings.limits.kvCapacityTokens)
        return fail(notRun(ErrorCode::InvalidRequest,
                           concat("request needs ", requiredKvTokens(request),
                                  " tokens of KV memory, the engine has ",
                                  m_settings.limits.kvCapacityTokens)));
    if (static_cast<std::int64_t>(m_waiting.size()) >= m_settings.limits.maxWaiting)
        return fail(notRun(ErrorCode::UpstreamBusy, "queue is full"));
    return {};
}

bool EngineModel::hasSequence(const std::string &requestId) const
{
    const auto matches = [&](const Sequence &sequence) {
        return sequence.request.requestId == requestId;
    };
    return std::any_of(m_waiting.begin(), m_waiting.end(), matches)
           || std::any_of(m_running.begin(), m_running.end(), matches);
}

std::optional<EngineModel::Sequence> EngineModel::removeSequence(const std::string &requestId)
{
    const auto removeFrom = [&](auto &sequences) -> std::optional<Sequence> {
        for (auto sequence = sequences.begin(); sequence != sequences.end(); ++sequence) {
            if (sequence->request.requestId != requestId)
                continue;
            Sequence removed = std::move(*sequence);
            sequences.erase(sequence);
            return removed;
        }
        return std::nullopt;
    };
    std::optional<Sequence> found = removeFrom(m_running);
    return found ? std::move(found) : removeFrom(m_waiting);
}

std::optional<EngineModel::Sequence> EngineModel::cancelSequence(absl::Time now,
                                                                 const std::string &requestId)
{
    std::optional<Sequence> sequence = removeSequence(requestId);
    if (!sequence)
        return std::nullopt;
    m_events.push_back(
            {EngineEvent::Kind::Finished, requestId, sequence->next, FinishReason::Cancelled});
    recordLoad(now);
    return sequence;
}

void EngineModel::beginStep(absl::Time at)
{
    at = std::max(at, m_frozenUntil);
    const absl::Duration prefill = admit(at);
    m_stepEnd = m_running.empty() ? absl::InfiniteFuture()
                                  : at + m_slowFactor * (prefill + decodeTime());
}

void EngineModel::endStep()
{
    std::vector<Sequence> unfinished;
    for (Sequence &sequence : m_running) {
        const EngineRequest &request = sequence.request;
        if (sequence.next < request.maxTokens)
            m_events.push_back({EngineEvent::Kind::Token, request.requestId, sequence.next++, {}});
        if (sequence.next < request.maxTokens) {
            unfinished.push_back(std::move(sequence));
            continue;
        }
        m_events.push_back({EngineEvent::Kind::Finished, request.requestId, sequence.next,
                            FinishReason::Length});
    }
    m_running = std::move(unfinished);
}

absl::Duration EngineModel::admit(absl::Time at)
{
    absl::Duration prefill;
    std::int64_t reserved = reservedTokens();
    while (!m_waiting.empty()
           && static_cast<std::int64_t>(m_running.size()) < m_settings.limits.maxBatch) {
        reserved += requiredKvTokens(m_waiting.front().request);
        // Requests are admitted strictly in order of arrival: one that does not fit blocks those
        // behind it.
        if (reserved > m_settings.limits.kvCapacityTokens)
            break;
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        prefill += startSequence(at, m_running.back());
    }
    return prefill;
}

absl::Duration EngineModel::startSequence(absl::Time at, Sequence &sequence)
{
    const EngineRequest &request = sequence.request;
    const EngineTimings &timings = m_settings.timings;
    m_events.push_back({EngineEvent::Kind::Started, request.requestId, sequence.next, {}});
    m_crashed = m_crashed
                || (!m_crashOn.empty() && request.prompt.find(m_crashOn) != std::string::npos);
    const std::int64_t cached = m_cache.cachedTokens(request.model, request.prompt);
    m_cacheEvents.publish(at, m_cache.store(request.model, request.prompt));
    const std::int64_t context = sequence.promptTokens + request.resumeAfter;
    const auto imported = importableTokens(request);
    if (!imported)
        return timings.prefillPerToken * std::max<std::int64_t>(context - cached, 1);
    return timings.kvImportPerToken * (sequence.promptTokens + *imported)
           + timings.prefillPerToken * (request.resumeAfter - *imported);
}

absl::Duration EngineModel::decodeTime() const
{
    std::int64_t context = 0;
    for (const Sequence &sequence : m_running)
        context += sequence.promptTokens + sequence.next;
    const EngineTimings &timings = m_settings.timings;
    return timings.stepBase + timings.stepPerSequence * static_cast<std::int64_t>(m_running.size())
           + timings.stepPerContextToken * context;
}

/// KV memory that the running requests have reserved. Memory for the complete response is reserved
/// on admission, so that no running request has to be preempted.
std::int64_t EngineModel::reservedTokens() const
{
    std::int64_t tokens = 0;
    for (const Sequence &sequence : m_running)
        tokens += requiredKvTokens(sequence.request);
    return tokens;
}

void EngineModel::recordLoad(absl::Time now)
{
    m_history.record(now, {static_cast<std::int64_t>(m_running.size()),
                           static_cast<std::int64_t>(m_waiting.size()), reservedTokens()});
}

} // namespace rattanrill::fakes
