#pragma once

#include "followservice.h"

#include "rattanrill/directory/pollsource.h"

#include <memory>

namespace rattanrill::control {

/// Polls of this instance's own directory replica, for its own view.
class LocalPollSource : public directory::PollSource
{
public:
    explicit LocalPollSource(std::shared_ptr<FollowService> service);

    void poll(const wire::FollowRequest &request, absl::Duration timeout,
              Callback callback) override;

private:
    const std::shared_ptr<FollowService> m_service;
};

} // namespace rattanrill::control
