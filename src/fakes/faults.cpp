#include "rattanrill/fakes/faults.h"

#include "rattanrill/base/concat.h"

#include "absl/time/clock.h"

#include <unistd.h>

#include <array>

namespace rattanrill::fakes {
namespace {

/// Exit code of a simulated crash; tests use it to distinguish the crash from a failed start.
constexpr int crashExitCode = 70;

constexpr std::array<std::string_view, 8> memberNames = {
        "crash_on",      "freeze_ms",        "slow_factor", "late_answer_ms",
        "cross_answers", "cut_after_tokens", "refuse",      "leaving"};

Result<void> checkMembers(const Json &body)
{
    if (!body.is_object())
        return fail(notRun(ErrorCode::InvalidRequest, "faults must be an object"));
    for (const auto &[key, unused] : body.items()) {
        bool known = false;
        for (const std::string_view name : memberNames)
            known = known || name == key;
        if (!known)
            return fail(notRun(ErrorCode::InvalidRequest, concat("unknown fault \"", key, "\"")));
    }
    return {};
}

/// Reads the member \a key into \a target. A null member sets \a target to \a off; a missing one
/// leaves it unchanged.
template <typename T>
Result<void> read(const Json &body, const char *key, T &target, T off)
{
    if (!body.contains(key))
        return {};
    BOOST_LEAF_AUTO(value, jsonMemberOr<T>(body, key, off));
    target = value;
    return {};
}

Result<void> readMilliseconds(const Json &body, const char *key, absl::Duration &target)
{
    std::int64_t milliseconds = absl::ToInt64Milliseconds(target);
    BOOST_LEAF_CHECK(read<std::int64_t>(body, key, milliseconds, 0));
    target = absl::Milliseconds(milliseconds);
    return {};
}

} // namespace

Result<void> Faults::set(const Json &body, absl::Time now)
{
    BOOST_LEAF_CHECK(checkMembers(body));
    FaultState state = this->state();
    absl::Duration freeze;
    BOOST_LEAF_CHECK(read<std::string>(body, "crash_on", state.crashOn, ""));
    BOOST_LEAF_CHECK(read<double>(body, "slow_factor", state.slowFactor, 1));
    BOOST_LEAF_CHECK(readMilliseconds(body, "late_answer_ms", state.responseDelay));
    BOOST_LEAF_CHECK(read<std::int64_t>(body, "cross_answers", state.swapAnswers, 0));
    BOOST_LEAF_CHECK(read<std::int64_t>(body, "cut_after_tokens", state.cutAfterTokens, 0));
    BOOST_LEAF_CHECK(read<bool>(body, "refuse", state.rejectRequests, false));
    BOOST_LEAF_CHECK(read<bool>(body, "leaving", state.leaving, false));
    BOOST_LEAF_CHECK(readMilliseconds(body, "freeze_ms", freeze));
    absl::MutexLock lock(&m_mutex);
    m_state = std::move(state);
    if (body.contains("freeze_ms"))
        m_frozenUntil = now + freeze;
    return {};
}

FaultState Faults::state() const
{
    absl::MutexLock lock(&m_mutex);
    return m_state;
}

absl::Time Faults::frozenUntil() const
{
    absl::MutexLock lock(&m_mutex);
    return m_frozenUntil;
}

bool Faults::consumeAnswerSwap()
{
    absl::MutexLock lock(&m_mutex);
    if (m_state.swapAnswers <= 0)
        return false;
    --m_state.swapAnswers;
    return true;
}

void Faults::waitWhileFrozen(absl::Time now) const
{
    const absl::Duration left = frozenUntil() - now;
    // Blocks the calling thread intentionally, because a frozen process does not respond.
    if (left > absl::ZeroDuration())
        absl::SleepFor(left);
}

void crashProcess()
{
    _exit(crashExitCode);
}

} // namespace rattanrill::fakes
