#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/batchmessages.h"

#include "absl/container/flat_hash_set.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace rattanrill::entry {

/// Checks the lines of a batch file one by one. It keeps a hash of each custom_id only.
class ItemChecker
{
public:
    using ModelCheck = std::function<bool(const std::string &model)>;

    /// \a key is the caller's key; a line that contains it is refused, because it would reach an
    /// engine.
    ItemChecker(ModelCheck knowsModel, std::size_t maxItems, std::string key);

    /// The item of line \a number, or nothing for a blank line. Fails with InvalidItem or
    /// DuplicateItem; the detail names the line.
    Outcome<std::optional<wire::ItemSpec>> check(std::size_t number, std::string_view line);
    std::size_t items() const { return m_customIds.size(); }

private:
    Result<wire::ItemSpec> parse(std::string_view line) const;

    ModelCheck m_knowsModel;
    std::size_t m_maxItems;
    std::string m_key;
    /// 128-bit hashes: a collision, which would refuse a file wrongly, is not to be expected.
    absl::flat_hash_set<std::pair<std::uint64_t, std::uint64_t>> m_customIds;
};

} // namespace rattanrill::entry
