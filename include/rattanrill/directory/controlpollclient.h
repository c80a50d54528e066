#pragma once

#include "rattanrill/directory/directorypollclient.h"

namespace rattanrill::controlclient {
class ControlClient;
}

namespace rattanrill::directory {

/// Sends directory polls to the control instances. Programs that use this class must link
/// rattanrill_controlclient.
class ControlPollClient : public DirectoryPollClient
{
public:
    explicit ControlPollClient(controlclient::ControlClient &client)
        : m_client(client)
    {}

    void poll(const wire::PollChangesRequest &request, absl::Duration timeout,
              Callback callback) override;

private:
    controlclient::ControlClient &m_client;
};

} // namespace rattanrill::directory
