#pragma once

#include "rattanrill/base/failure.h"

#include <boost/leaf/common.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <utility>
#include <variant>

namespace rattanrill {

/// Result of a synchronous call. The error object is always a \c Failure. Callers convert a Result
/// with \c outcomeOf(), which is also the only way to pass it to another thread.
template <typename T>
using Result = boost::leaf::result<T>;

/// Creates the error of a failed \c Result: `return fail(notRun(ErrorCode::NotFound, "..."));`
inline boost::leaf::error_id fail(Failure failure)
{
    return boost::leaf::new_error(std::move(failure));
}

/// Value or failure as plain data, which can be passed to callbacks and other threads.
template <typename T>
class Outcome
{
public:
    Outcome(T value)
        : m_state(std::move(value))
    {}
    Outcome(Failure failure)
        : m_state(std::move(failure))
    {}

    bool ok() const { return std::holds_alternative<T>(m_state); }
    explicit operator bool() const { return ok(); }

    /// Requires ok().
    const T &value() const { return std::get<T>(m_state); }
    T &value() { return std::get<T>(m_state); }
    /// Requires !ok().
    const Failure &failure() const { return std::get<Failure>(m_state); }

    /// Converts the outcome back to a Result, for synchronous code.
    Result<T> result() const
    {
        if (ok())
            return value();
        return fail(failure());
    }

private:
    std::variant<T, Failure> m_state;
};

/// Value type of an \c Outcome that only reports success.
struct Done
{};

/// Type trait that maps Result<T> to T.
template <typename R>
struct ResultValue;

template <typename T>
struct ResultValue<Result<T>>
{
    using Type = T;
};

/// Runs \a operation, which returns a Result<T>, and converts its value or failure to an
/// Outcome<T>; a Result<void> becomes an Outcome<Done>.
template <typename Operation>
auto outcomeOf(Operation &&operation)
{
    using Value = typename ResultValue<std::decay_t<decltype(operation())>>::Type;
    if constexpr (std::is_void_v<Value>) {
        return boost::leaf::try_handle_all(
                [&]() -> Result<Outcome<Done>> {
                    BOOST_LEAF_CHECK(operation());
                    return Outcome<Done>(Done{});
                },
                [](const Failure &failure) { return Outcome<Done>(failure); },
                [] { return Outcome<Done>(mayHaveRun(ErrorCode::Internal, "untyped error")); });
    } else {
        return boost::leaf::try_handle_all(
                [&]() -> Result<Outcome<Value>> {
                    BOOST_LEAF_AUTO(value, operation());
                    return Outcome<Value>(std::move(value));
                },
                [](const Failure &failure) { return Outcome<Value>(failure); },
                [] { return Outcome<Value>(mayHaveRun(ErrorCode::Internal, "untyped error")); });
    }
}

} // namespace rattanrill
