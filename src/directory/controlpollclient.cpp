#include "rattanrill/directory/controlpollclient.h"

#include "rattanrill/controlclient/controlclient.h"

#include <utility>

namespace rattanrill::directory {

void ControlPollClient::poll(const wire::PollChangesRequest &request, absl::Duration timeout,
                             Callback callback)
{
    m_client.pollDirectory(request, timeout, std::move(callback));
}

} // namespace rattanrill::directory
