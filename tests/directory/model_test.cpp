#include "directorydriver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::directory;

namespace {

constexpr unsigned seeds = 25;
constexpr int steps = 400;

/// Generates the writes of several operators and processes: concurrent writes from the same base
/// revision, resends after lost responses, and colliding names.
class RandomWrites
{
public:
    explicit RandomWrites(unsigned seed)
        : m_random(seed)
    {}

    /// Returns a random number from 0 to \a end - 1.
    std::size_t randomBelow(std::size_t end) { return m_random() % end; }

    /// Returns a new write, or resends an earlier one at another time.
    wire::DirectoryCommand next(std::int64_t nowMs, const DirectoryView &view)
    {
        const bool resend = !m_sent.empty() && randomBelow(6) == 0;
        wire::DirectoryCommand command =
                resend ? m_sent[randomBelow(m_sent.size())] : newCommand(view);
        command.nowMs = nowMs;
        if (!resend)
            m_sent.push_back(command);
        return command;
    }

private:
    std::string randomName(const char *stem, std::size_t end)
    {
        return concat(stem, randomBelow(end));
    }

    wire::DirectoryCommand newCommand(const DirectoryView &view)
    {
        wire::DirectoryCommand command;
        command.requestId = randomBelow(4) == 0 ? "" : concat("request-", m_sent.size());
        command.operation = randomOperation();
        command.unconditional = randomBelow(2) == 0;
        command.baseRevision = randomBelow(view.revision() + 1);
        if (const auto *put = std::get_if<wire::PutContract>(&command.operation)) {
            const auto contract = view.contract(put->contract.workspace);
            command.baseRevision = contract ? contract->revision : 0;
        }
        return command;
    }

    wire::DirectoryOperation randomOperation()
    {
        const std::string workspace = randomName("w-", 3);
        const std::string upstream = randomName("u-", 3);
        switch (randomBelow(12)) {
        case 0: {
            wire::Contract contract;
            contract.workspace = workspace;
            contract.ratePerSecond = static_cast<double>(randomBelow(5)) - 1;
            return wire::PutContract{contract};
        }
        case 1:
            return wire::WithdrawContract{workspace};
        case 2:
        case 3:
            return wire::AddKey{{randomName("k-", 20),
                                 std::string(64, "0123456789abcdef"[randomBelow(16)]), workspace,
                                 false, 0}};
        case 4:
            return wire::RevokeKey{randomName("k-", 20)};
        case 5:
            return wire::PutUpstream{{upstream, wire::UpstreamKind::Engine, "m", "h",
                                      static_cast<std::int64_t>(randomBelow(3)), "d"}};
        case 6:
            return wire::RemoveUpstream{upstream};
        case 7:
            return wire::IssueFencingToken{upstream};
        case 8:
            return wire::JoinMember{
                    {randomName("e-", 2), "d", "h:1", "h:2", randomName("i-", 4), 0}};
        case 9:
            return wire::RemoveMember{randomName("e-", 2),
                                      randomBelow(2) == 0 ? "" : randomName("i-", 4)};
        case 10:
            return wire::ReportCrash{randomName("f-", 2), upstream, 500};
        default:
            return wire::PutRoute{{randomName("r-", 2), randomName("/p", 2), "s", false, false, 0}};
        }
    }

    std::mt19937 m_random;
    std::vector<wire::DirectoryCommand> m_sent;
};

std::string describeResponse(const Outcome<wire::DirectoryResult> &response)
{
    return response.ok() ? wire::toJsonText(response.value()) : describe(response.failure());
}

/// Conditions that must hold after every sequence of writes.
class Invariants
{
public:
    using Response = Outcome<wire::DirectoryResult>;

    /// Returns the first violation; empty when there is none.
    std::string check(const wire::DirectoryCommand &command, const Response &response,
                      const DirectoryView &view, const wire::PollChangesResponse &records)
    {
        const auto first = m_responses.find(command.requestId);
        const bool resend = !command.requestId.empty() && first != m_responses.end();
        if (resend && first->second != describeResponse(response))
            return "a resend received a different response";
        if (!command.requestId.empty())
            m_responses.emplace(command.requestId, describeResponse(response));
        const std::uint64_t step = view.revision() - m_revision;
        if (step > (response.ok() && !resend ? 1 : 0))
            return "the revision increased without an accepted write, or by more than one";
        m_revision = view.revision();
        if (!resend && response.ok() && response.value().fence > 0) {
            std::uint64_t &last = m_fencingTokens[response.value().id];
            if (response.value().fence <= last)
                return "a fencing token did not increase";
            last = response.value().fence;
        }
        return checkKeys(records, view);
    }

private:
    std::string checkKeys(const wire::PollChangesResponse &records, const DirectoryView &view)
    {
        std::set<std::string> hashes;
        for (const wire::RecordChange &change : records.changes) {
            if (change.kind != wire::RecordKind::ApiKey)
                continue;
            const auto key = outcomeOf([&] { return wire::decode<wire::ApiKey>(change.body); });
            const std::string &hash = key.value().hash;
            if (!hashes.insert(hash).second)
                return "two keys have the same hash";
            if (key.value().withdrawn)
                m_withdrawn.insert(hash);
            else if (m_withdrawn.count(hash) > 0)
                return "a withdrawn key became valid again";
            const auto contract = view.contract(key.value().workspace);
            if (!key.value().withdrawn && (!contract || contract->withdrawn))
                return "a key is valid although its contract is withdrawn or missing";
        }
        for (const std::string &hash : m_withdrawn) {
            if (!view.apiKeyByHash(hash))
                return "a withdrawn key is missing from the view";
        }
        return {};
    }

    std::uint64_t m_revision = 0;
    std::map<std::string, std::string> m_responses;
    std::map<std::string, std::uint64_t> m_fencingTokens;
    std::set<std::string> m_withdrawn;
};

/// Returns everything that entry instances read from a view as text.
std::string summary(const DirectoryView &view)
{
    std::string text = concat(view.revision(), "/", view.memberRevision());
    for (const auto &[id, upstream] : view.upstreams())
        text += concat(" ", id, ":", upstream->revision, ":", view.fencingToken(id));
    for (const auto &[id, member] : view.members())
        text += concat(" ", id, ":", member->incarnation);
    for (const auto &[id, route] : view.routes())
        text += concat(" ", id, ":", route->pathPrefix);
    for (const char *workspace : {"w-0", "w-1", "w-2"}) {
        const auto contract = view.contract(workspace);
        text += contract ? concat(" ", contract->revision, contract->withdrawn ? "-" : "+") : " .";
    }
    for (const char digit : std::string("0123456789abcdef")) {
        const auto key = view.apiKeyByHash(std::string(64, digit));
        text += key ? concat(key->keyId, key->withdrawn ? "-" : "+") : ".";
    }
    for (const char *fingerprint : {"f-0", "f-1"})
        text += view.quarantinedRequest(fingerprint, 0) ? "held" : "free";
    return text;
}

using CommandFault = std::function<void(wire::DirectoryCommand &)>;

/// Applies the writes of one seed to a replica that keeps running and to one that is repeatedly
/// restored from its snapshot, and returns the first violation. \a injectFault changes each command
/// before it is applied, to simulate a fault of the state machine.
std::string runSeed(unsigned seed, const CommandFault &injectFault)
{
    RandomWrites writes(seed);
    Invariants invariants;
    DirectoryDriver reference;
    DirectoryDriver restarting;
    std::vector<DirectoryView> subscriberViews(4);
    for (int step = 0; step < steps; ++step) {
        reference.nowMs += static_cast<std::int64_t>(writes.randomBelow(300));
        const wire::DirectoryCommand command = writes.next(reference.nowMs, reference.view());
        wire::DirectoryCommand applied = command;
        injectFault(applied);
        const auto response = reference.apply(applied);
        if (describeResponse(response) != describeResponse(restarting.apply(applied)))
            return "the restored replica returned a different response";
        const DirectoryView view = reference.view();
        const std::string fault = invariants.check(command, response, view, reference.query(0));
        if (!fault.empty())
            return concat("seed ", seed, ", step ", step, ": ", fault);
        DirectoryView &subscriberView = subscriberViews[writes.randomBelow(subscriberViews.size())];
        subscriberView = restarting.updated(subscriberView);
        if (summary(subscriberView) != summary(view))
            return concat(summary(subscriberView), " differs from ", summary(view));
        if (writes.randomBelow(10) == 0)
            restarting.restart();
    }
    const bool same = reference.machine().snapshot() == restarting.machine().snapshot();
    return same ? "" : "the restored replica has a different state";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ModelTest)

// Guards against lost updates, resends that are applied twice (F5), withdrawn keys that become
// valid again (R6), decreasing fencing tokens, state that is missing from a snapshot, and deltas
// that result in another view than a snapshot.
BOOST_AUTO_TEST_CASE(randomWritesKeepTheInvariants)
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
        BOOST_TEST(runSeed(seed, [](wire::DirectoryCommand &) {}) == "");
}

// Guards against invariants that accept a state machine that ignores request ids and therefore
// applies a resent write twice.
BOOST_AUTO_TEST_CASE(invariantsDetectIgnoredRequestIds)
{
    const std::string fault =
            runSeed(1, [](wire::DirectoryCommand &command) { command.requestId.clear(); });
    BOOST_TEST(fault.find("resend") != std::string::npos, fault);
}

BOOST_AUTO_TEST_SUITE_END()
