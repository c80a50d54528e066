#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/message.h"
#include "rattanrill/serving/deployment.h"

#include <string>
#include <variant>

namespace rattanrill::fleet {

/// An operator's request to replace the configuration.
struct PutConfigurationCall
{
    std::string document;
    serving::Deployment deployment;
};

/// An operator's request to read the configuration.
struct ReadConfigurationCall
{};

/// An operator's request to retire the store on \a instance, so that the store no longer holds a
/// replica.
struct StartRetirementCall
{
    std::string instance;
};

/// An operator's request for the status of a retirement.
struct ReadRetirementCall
{
    std::string instance;
};

/// An operator's request to start or finish the evacuation of a failure domain, whose upstreams get
/// no new requests meanwhile.
struct SetEvacuationCall
{
    std::string failureDomain;
    bool isEvacuated = false;
};

using OperatorCall = std::variant<PutConfigurationCall, ReadConfigurationCall, StartRetirementCall,
                                  ReadRetirementCall, SetEvacuationCall>;

/// Translates between the operators' HTTP protocol and the types of this library. Defines names,
/// formats and encodings only; makes no decisions.
class OperatorProtocolAdapter
{
public:
    virtual ~OperatorProtocolAdapter() = default;

    /// Parses an operator's request. Fails with InvalidRequest (also for a configuration that can't
    /// be read in full) or NotFound.
    virtual Result<OperatorCall> parseCall(const net::Request &request) const = 0;
    /// Parses the configuration in a document that was accepted earlier. Fails with InvalidRequest.
    virtual Result<serving::Deployment> parseConfiguration(const std::string &document) const = 0;
    virtual net::Response acceptedResponse() const = 0;
    virtual net::Response configurationResponse(const std::string &document) const = 0;
    virtual net::Response retirementStatusResponse(bool isDone) const = 0;
    virtual net::Response errorResponse(const Failure &failure) const = 0;
};

} // namespace rattanrill::fleet
