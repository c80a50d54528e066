#pragma once

#include "rattanrill/directory/pollsource.h"

namespace rattanrill::controlclient {
class ControlClient;
}

namespace rattanrill::directory {

/// Polls the control instances. Programs that use it link rattanrill_controlclient.
class ControlPollSource : public PollSource
{
public:
    explicit ControlPollSource(controlclient::ControlClient &client)
        : m_client(client)
    {}

    void poll(const wire::FollowRequest &request, absl::Duration timeout,
              Callback callback) override;

private:
    controlclient::ControlClient &m_client;
};

} // namespace rattanrill::directory
