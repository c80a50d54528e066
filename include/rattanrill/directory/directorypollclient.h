#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/time/time.h"

#include <functional>

namespace rattanrill::directory {

/// Transport for long polls of the directory.
class DirectoryPollClient
{
public:
    using Callback = std::function<void(Outcome<wire::PollChangesResponse>)>;

    virtual ~DirectoryPollClient() = default;
    /// Sends one long poll. \a callback runs exactly once, on any thread and possibly before poll()
    /// returns. If there is no response within \a timeout, it receives a failure.
    virtual void poll(const wire::PollChangesRequest &request, absl::Duration timeout,
                      Callback callback) = 0;
};

} // namespace rattanrill::directory
