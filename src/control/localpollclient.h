#pragma once

#include "pollchangesservice.h"

#include "rattanrill/directory/directorypollclient.h"

#include <memory>

namespace rattanrill::control {

/// Polls the directory replica of this instance, so that the instance's directory view stays
/// current.
class LocalPollClient : public directory::DirectoryPollClient
{
public:
    explicit LocalPollClient(std::shared_ptr<PollChangesService> service);

    void poll(const wire::PollChangesRequest &request, absl::Duration timeout,
              Callback callback) override;

private:
    const std::shared_ptr<PollChangesService> m_service;
};

} // namespace rattanrill::control
