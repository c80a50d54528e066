#include "rattanrill/directory/controlpollsource.h"

#include "rattanrill/controlclient/controlclient.h"

#include <utility>

namespace rattanrill::directory {

void ControlPollSource::poll(const wire::FollowRequest &request, absl::Duration timeout,
                             Callback callback)
{
    m_client.follow(request, timeout, std::move(callback));
}

} // namespace rattanrill::directory
