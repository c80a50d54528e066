#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <functional>
#include <string>

namespace rattanrill::controlclient {
class ControlClient;
}

namespace rattanrill::entry {

/// Records durably that an upstream crashed while it ran a request.
class CrashReporter
{
public:
    /// Receives whether the request is quarantined from now on.
    using Callback = std::function<void(Outcome<bool>)>;

    virtual ~CrashReporter() = default;
    virtual void report(const std::string &fingerprint, const std::string &upstream,
                        Callback callback) = 0;
};

/// Records crashes in the directory.
class DirectoryCrashReporter : public CrashReporter
{
public:
    DirectoryCrashReporter(controlclient::ControlClient &control, absl::Duration blockTime,
                           absl::Duration timeout, const Clock &clock);

    void report(const std::string &fingerprint, const std::string &upstream,
                Callback callback) override;

private:
    controlclient::ControlClient &m_control;
    absl::Duration m_blockTime;
    absl::Duration m_timeout;
    const Clock &m_clock;
};

} // namespace rattanrill::entry
