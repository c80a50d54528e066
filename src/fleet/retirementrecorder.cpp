#include "retirementrecorder.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::fleet {
namespace {

const std::string &replicaOf(const wire::FleetOperation &change)
{
    const auto *completion = std::get_if<wire::CompleteRetirement>(&change);
    return completion != nullptr ? completion->replica
                                 : std::get<wire::RetireStore>(change).replica;
}

} // namespace

RetirementRecorder::RetirementRecorder(GroupReplica &replica, const FleetView &view)
    : m_replica(replica)
    , m_view(view)
{}

void RetirementRecorder::update()
{
    if (m_isProposing)
        return;
    const std::vector<wire::FleetOperation> changes = m_view.retirementChanges();
    if (changes.empty())
        return;
    m_isProposing = true;
    const wire::FleetCommand command{changes.front()};
    const bool isCompletion = std::holds_alternative<wire::CompleteRetirement>(command.operation);
    m_replica.propose(wire::encode(command), [self = shared_from_this(), term = m_view.term(),
                                              replica = replicaOf(command.operation),
                                              isCompletion](const Outcome<std::string> &outcome) {
        if (term != self->m_view.term())
            return;
        self->m_isProposing = false;
        log(outcome.ok() ? LogLevel::Info : LogLevel::Warning,
            isCompletion ? "retirement-completed" : "retirement-extended",
            {{"replica", replica},
             {"term", term},
             {"code", outcome.ok() ? "ok" : name(outcome.failure().code)},
             {"detail", outcome.ok() ? "" : outcome.failure().detail}});
    });
}

} // namespace rattanrill::fleet
