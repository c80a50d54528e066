#include "localpollclient.h"

#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::control {

LocalPollClient::LocalPollClient(std::shared_ptr<PollChangesService> service)
    : m_service(std::move(service))
{}

/// The timeout is ignored, because the local service replies to every poll, with a response or a
/// failure.
void LocalPollClient::poll(const wire::PollChangesRequest &request, absl::Duration,
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
