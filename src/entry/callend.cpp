#include "callend.h"

namespace rattanrill::entry {
namespace {

constexpr int firstServerError = 500;

} // namespace

CallEnd callEndOf(const Outcome<service::ServiceResponse> &response)
{
    if (response.ok())
        return response.value().status >= firstServerError ? CallEnd::ServerError
                                                           : CallEnd::Completed;
    return response.failure().code == ErrorCode::UpstreamBusy ? CallEnd::Refused : CallEnd::Failed;
}

} // namespace rattanrill::entry
