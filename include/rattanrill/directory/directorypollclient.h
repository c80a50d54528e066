#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/time/time.h"

#include <functional>

namespace rattanrill::directory {

/// Sends one long poll of the directory. The callback runs exactly once, on any thread, also before
/// poll() returns; with a failure at the latest after \a timeout.
class DirectoryPollClient
{
public:
    using Callback = std::function<void(Outcome<wire::PollChangesResponse>)>;

    virtual ~DirectoryPollClient() = default;
    virtual void poll(const wire::PollChangesRequest &request, absl::Duration timeout,
                      Callback callback) = 0;
};

} // namespace rattanrill::directory
