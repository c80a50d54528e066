#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::fakes {

enum class EngineCommandKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
};

/// A command to an engine to load a model, adapter or version, or to change its role.
struct EngineCommand
{
    EngineCommandKind kind = EngineCommandKind::LoadModel;
    /// Name of the model, adapter, version or role.
    std::string name;
    /// Fencing token with which the command was sent.
    std::int64_t fence = 0;
};

/// Response of an engine to a command.
struct EngineCommandResult
{
    bool accepted = false;
    /// Highest fencing token of all commands accepted so far.
    std::int64_t fence = 0;
};

std::string_view name(EngineCommandKind kind);
/// Inverse of name(). Fails with InvalidRequest for an unknown name.
Result<EngineCommandKind> engineCommandKindFromName(std::string_view name);

/// The models, adapters and versions that an engine has loaded or is loading, and its role. An
/// engine that checks fencing tokens rejects a command with an outdated one; an engine that does
/// not check them executes it.
class LoadedModels
{
public:
    /// \a models are loaded from the start; a model loaded by a command becomes available after
    /// \a loadTime.
    LoadedModels(std::vector<std::string> models, bool checksFence, absl::Duration loadTime);

    EngineCommandResult apply(absl::Time now, const EngineCommand &command);
    /// Whether \a model is loaded at \a now.
    bool isLoaded(absl::Time now, std::string_view model) const;
    /// Role of the last accepted SetRole command; empty before the first.
    const std::string &role() const { return m_role; }

private:
    bool m_checksFence;
    absl::Duration m_loadTime;
    std::int64_t m_fence = 0;
    std::map<std::string, absl::Time, std::less<>> m_readyAt;
    std::string m_role;
};

} // namespace rattanrill::fakes
