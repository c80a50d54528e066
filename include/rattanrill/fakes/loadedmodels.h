#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::fakes {

enum class OrderKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
};

struct Order
{
    OrderKind kind = OrderKind::LoadModel;
    std::string name;
    std::int64_t fence = 0;
};

struct OrderAnswer
{
    bool accepted = false;
    /// Highest fencing number seen so far.
    std::int64_t fence = 0;
};

std::string_view name(OrderKind kind);
/// Fails with InvalidRequest for an unknown word.
Result<OrderKind> orderKindFromName(std::string_view name);

/// What an engine was ordered to load. Some engines refuse an order with an old fencing number,
/// others carry it out.
class LoadedModels
{
public:
    LoadedModels(std::vector<std::string> models, bool checksFence, absl::Duration loadTime);

    OrderAnswer apply(absl::Time now, const Order &order);
    /// Whether \a model is loaded; a model ordered later is so after the load time.
    bool serves(absl::Time now, std::string_view model) const;
    const std::string &role() const { return m_role; }

private:
    bool m_checksFence;
    absl::Duration m_loadTime;
    std::int64_t m_fence = 0;
    std::map<std::string, absl::Time, std::less<>> m_readyAt;
    std::string m_role;
};

} // namespace rattanrill::fakes
