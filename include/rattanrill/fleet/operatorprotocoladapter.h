#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/message.h"
#include "rattanrill/serving/deployment.h"

#include <string>
#include <variant>

namespace rattanrill::fleet {

/// The operator replaces the configuration.
struct PutConfigurationCall
{
    std::string document;
    serving::Deployment deployment;
};

struct ReadConfigurationCall
{};

/// The operator wants the store on this instance emptied.
struct StartRetirementCall
{
    std::string instance;
};

struct ReadRetirementCall
{
    std::string instance;
};

using OperatorCall = std::variant<PutConfigurationCall, ReadConfigurationCall, StartRetirementCall,
                                  ReadRetirementCall>;

/// How operators speak: names, formats and encodings, no decisions.
class OperatorProtocolAdapter
{
public:
    virtual ~OperatorProtocolAdapter() = default;

    /// Fails with InvalidRequest (also for a configuration that can't be read in full) or
    /// NotFound.
    virtual Result<OperatorCall> parseCall(const net::Request &request) const = 0;
    /// Configuration in a document that was accepted earlier. Fails with InvalidRequest.
    virtual Result<serving::Deployment> parseConfiguration(const std::string &document) const = 0;
    virtual net::Response acceptedResponse() const = 0;
    virtual net::Response configurationResponse(const std::string &document) const = 0;
    virtual net::Response retirementStatusResponse(bool isDone) const = 0;
    virtual net::Response errorResponse(const Failure &failure) const = 0;
};

} // namespace rattanrill::fleet
