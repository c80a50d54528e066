#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/directorymessages.h"

#include <cstddef>
#include <string_view>

/// Checks of the fields of directory records. They fail with InvalidRequest and a message that
/// contains the name of the field.
namespace rattanrill::directory {

constexpr std::size_t maxNameBytes = 128;
/// Maximum length of the path prefix of a route.
constexpr std::size_t maxPathBytes = 1024;
/// Maximum length of the value of a configuration record.
constexpr std::size_t maxConfigBytes = 256 * 1024;
/// Maximum time for which results or quarantined requests are kept: one year, which may be a leap
/// year.
constexpr std::int64_t maxRetentionSeconds = 366 * 24 * 3600;

/// Checks that \a value has 1 to maxNameBytes bytes and no control characters.
Result<void> validateName(std::string_view field, std::string_view value);
Result<void> validate(const wire::Contract &contract);
Result<void> validate(const wire::ApiKey &key);
Result<void> validate(const wire::Config &config);
Result<void> validate(const wire::Route &route);
Result<void> validate(const wire::Upstream &upstream);
Result<void> validate(const wire::Member &member);
Result<void> validate(const wire::ReportCrash &report);

} // namespace rattanrill::directory
