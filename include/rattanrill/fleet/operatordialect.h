#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/message.h"
#include "rattanrill/serving/deployment.h"

#include <string>
#include <variant>

namespace rattanrill::fleet {

/// The operator replaces the configuration.
struct PutDocument
{
    std::string document;
    serving::Deployment deployment;
};

struct GetDocument
{};

/// The operator wants the store on this instance emptied.
struct StartRetiring
{
    std::string instance;
};

struct GetRetiring
{
    std::string instance;
};

using OperatorCall = std::variant<PutDocument, GetDocument, StartRetiring, GetRetiring>;

/// How operators speak: names, formats and encodings, no decisions.
class OperatorDialect
{
public:
    virtual ~OperatorDialect() = default;

    /// Fails with InvalidRequest (also for a configuration that can't be read in full) or
    /// NotFound.
    virtual Result<OperatorCall> readCall(const net::Request &request) const = 0;
    /// Configuration in a document that was accepted earlier. Fails with InvalidRequest.
    virtual Result<serving::Deployment> readDocument(const std::string &document) const = 0;
    virtual net::Response accepted() const = 0;
    virtual net::Response document(const std::string &document) const = 0;
    virtual net::Response retiring(bool isDone) const = 0;
    virtual net::Response refusal(const Failure &failure) const = 0;
};

} // namespace rattanrill::fleet
