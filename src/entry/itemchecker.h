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

/// Checks the lines of a batch file one by one. Keeps only a hash of each custom_id.
class ItemChecker
{
public:
    using ModelCheck = std::function<bool(const std::string &model)>;

    /// \a key is the caller's API key. A line that contains it is refused, because the key would be
    /// sent to an engine.
    ItemChecker(ModelCheck isServed, std::size_t maxItems, std::string key);

    /// Returns the item of line \a number, or nothing for a blank line. Fails with InvalidItem or
    /// DuplicateItem; the detail contains the line number.
    Outcome<std::optional<wire::ItemSpec>> check(std::size_t number, std::string_view line);
    std::size_t items() const { return m_customIds.size(); }

private:
    Result<wire::ItemSpec> parse(std::string_view line) const;

    ModelCheck m_isServed;
    std::size_t m_maxItems;
    std::string m_key;
    /// 128-bit hashes, so that a collision, which would refuse a valid file, is not to be expected.
    absl::flat_hash_set<std::pair<std::uint64_t, std::uint64_t>> m_customIds;
};

} // namespace rattanrill::entry
