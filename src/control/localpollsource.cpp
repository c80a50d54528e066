#include "localpollsource.h"

#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::control {

LocalPollSource::LocalPollSource(std::shared_ptr<FollowService> service)
    : m_service(std::move(service))
{}

/// The group answers or fails every read by itself, so \a timeout is not needed.
void LocalPollSource::poll(const wire::PollChangesRequest &request, absl::Duration,
                           Callback callback)
{
    m_service->poll(request, [callback = std::move(callback)](const Outcome<std::string> &outcome) {
        if (!outcome.ok())
            return callback(outcome.failure());
        callback(outcomeOf(
                [&] { return wire::decode<wire::PollChangesResponse>(outcome.value()); }));
    });
}

} // namespace rattanrill::control
