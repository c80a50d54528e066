#pragma once

#include "followservice.h"

#include "rattanrill/directory/directorypollclient.h"

#include <memory>

namespace rattanrill::control {

/// Polls of this instance's own directory replica, for its own view.
class LocalPollSource : public directory::DirectoryPollClient
{
public:
    explicit LocalPollSource(std::shared_ptr<FollowService> service);

    void poll(const wire::PollChangesRequest &request, absl::Duration timeout,
              Callback callback) override;

private:
    const std::shared_ptr<FollowService> m_service;
};

} // namespace rattanrill::control
