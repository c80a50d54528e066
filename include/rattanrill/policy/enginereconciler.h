#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

/// What an engine command sets.
enum class EngineCommandKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
};

/// Name of \a kind in the engine protocol, such as "load_model".
std::string_view name(EngineCommandKind kind);

/// Desired state of one engine: the model, adapter and version that it should have loaded, and its
/// role.
struct DesiredState
{
    std::string engine;
    /// Whether the engine rejects commands with a fencing token lower than one that it has
    /// received.
    bool checksFence = false;
    /// Desired value of each kind. Kinds that are not listed are left as they are.
    std::map<EngineCommandKind, std::string> values;
};

/// A command to send to an engine.
struct EngineCommand
{
    std::string engine;
    EngineCommandKind kind = EngineCommandKind::LoadModel;
    /// Value to set: name of the model, adapter, version or role.
    std::string value;
    /// Fencing token that the directory issued with the desired states.
    std::uint64_t fence = 0;
};

/// Settings of EngineReconciler.
struct EngineReconcilerSettings
{
    /// Longest time after sending for which a command can still arrive: the sender's connection and
    /// request timeouts, after which the sender closes the connection.
    absl::Duration commandLifetime = absl::Seconds(5);
    /// Rate and burst of weight loads, over all engines, that the weight store allows.
    RateContract weightLoadRate{0.2, 2};
};

/// Decides which commands to send so that engines reach their desired state. Each engine has at
/// most one outstanding command. An engine that checks fencing tokens rejects older commands
/// itself. An engine that ignores them could execute an older command late and undo a newer one, so
/// a new command is withheld until the older one has been answered or can no longer arrive.
class EngineReconciler
{
public:
    /// Assumes that a previous sender may have sent its last command at \a now.
    EngineReconciler(EngineReconcilerSettings settings, absl::Time now);

    /// Replaces the desired states. \a fence is the fencing token that the directory issued with
    /// them; when it is lower than an earlier one, the earlier one stays in use.
    void setDesired(absl::Time now, const std::vector<DesiredState> &desired, std::uint64_t fence);
    /// Returns the commands to send now, at most one per engine.
    std::vector<EngineCommand> decide(absl::Time now);
    /// Reports that the engine answered \a command. Ignored unless \a command is outstanding.
    void answered(absl::Time now, const EngineCommand &command, bool accepted);
    /// Reports that \a command got no response. The command may still arrive.
    void timedOut(absl::Time now, const EngineCommand &command);
    /// True when the values that the engine has confirmed equal the desired ones; false for unknown
    /// engines.
    bool isConverged(std::string_view engine) const;

private:
    struct Engine
    {
        DesiredState desired;
        std::map<EngineCommandKind, std::string> confirmed;
        std::optional<EngineCommand> outstanding;
        /// Time until which an older command may still arrive.
        absl::Time commandMayArriveUntil;
    };

    std::optional<EngineCommand> nextCommand(absl::Time now, Engine &engine);

    EngineReconcilerSettings m_settings;
    absl::Time m_start;
    std::uint64_t m_fence = 0;
    TokenBucket m_weightLoads;
    std::map<std::string, Engine, std::less<>> m_engines;
};

} // namespace rattanrill::policy
