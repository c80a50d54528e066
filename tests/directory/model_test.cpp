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

/// Writes of several operators and processes: races from equal base revisions, resends after lost
/// answers and names that collide.
class RandomWrites
{
public:
    explicit RandomWrites(unsigned seed)
        : m_random(seed)
    {}

    std::size_t below(std::size_t end) { return m_random() % end; }

    wire::DirectoryCommand next(std::int64_t nowMs, const DirectoryView &view)
    {
        const bool resend = !m_sent.empty() && below(6) == 0;
        wire::DirectoryCommand command = resend ? m_sent[below(m_sent.size())] : make(view);
        command.nowMs = nowMs;
        if (!resend)
            m_sent.push_back(command);
        return command;
    }

private:
    std::string text(const char *stem, std::size_t end) { return concat(stem, below(end)); }

    wire::DirectoryCommand make(const DirectoryView &view)
    {
        wire::DirectoryCommand command;
        command.requestId = below(4) == 0 ? "" : concat("request-", m_sent.size());
        command.operation = operation();
        command.unconditional = below(2) == 0;
        command.baseRevision = below(view.revision() + 1);
        if (const auto *put = std::get_if<wire::PutContract>(&command.operation)) {
            const auto contract = view.contract(put->contract.workspace);
            command.baseRevision = contract ? contract->revision : 0;
        }
        return command;
    }

    wire::DirectoryOperation operation()
    {
        const std::string workspace = text("w-", 3);
        const std::string upstream = text("u-", 3);
        switch (below(12)) {
        case 0: {
            wire::Contract contract;
            contract.workspace = workspace;
            contract.ratePerSecond = static_cast<double>(below(5)) - 1;
            return wire::PutContract{contract};
        }
        case 1:
            return wire::WithdrawContract{workspace};
        case 2:
        case 3:
            return wire::AddKey{{text("k-", 20), std::string(64, "0123456789abcdef"[below(16)]),
                                 workspace, false, 0}};
        case 4:
            return wire::RevokeKey{text("k-", 20)};
        case 5:
            return wire::PutUpstream{{upstream, wire::UpstreamKind::Engine, "m", "h",
                                      static_cast<std::int64_t>(below(3)), "d"}};
        case 6:
            return wire::RemoveUpstream{upstream};
        case 7:
            return wire::IssueFencingToken{upstream};
        case 8:
            return wire::JoinMember{{text("e-", 2), "d", "h:1", "h:2", text("i-", 4), 0}};
        case 9:
            return wire::RemoveMember{text("e-", 2), below(2) == 0 ? "" : text("i-", 4)};
        case 10:
            return wire::ReportCrash{text("f-", 2), upstream, 500};
        default:
            return wire::PutRoute{{text("r-", 2), text("/p", 2), "s", false, false, 0}};
        }
    }

    std::mt19937 m_random;
    std::vector<wire::DirectoryCommand> m_sent;
};

std::string textOf(const Outcome<wire::DirectoryResult> &answer)
{
    return answer.ok() ? wire::toJsonText(answer.value()) : describe(answer.failure());
}

/// What must hold after each write, whatever came before.
class Invariants
{
public:
    using Answer = Outcome<wire::DirectoryResult>;

    /// The first fault, or an empty text.
    std::string check(const wire::DirectoryCommand &command, const Answer &answer,
                      const DirectoryView &view, const wire::PollChangesResponse &records)
    {
        const auto first = m_answers.find(command.requestId);
        const bool resend = !command.requestId.empty() && first != m_answers.end();
        if (resend && first->second != textOf(answer))
            return "a resend got another answer";
        if (!command.requestId.empty())
            m_answers.emplace(command.requestId, textOf(answer));
        const std::uint64_t step = view.revision() - m_revision;
        if (step > (answer.ok() && !resend ? 1 : 0))
            return "the revision moved without an accepted write, or by more than one";
        m_revision = view.revision();
        if (!resend && answer.ok() && answer.value().fence > 0) {
            std::uint64_t &last = m_fences[answer.value().id];
            if (answer.value().fence <= last)
                return "a fencing number did not grow";
            last = answer.value().fence;
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
                return "two keys have one hash";
            if (key.value().withdrawn)
                m_withdrawn.insert(hash);
            else if (m_withdrawn.count(hash) > 0)
                return "a withdrawn key came back";
            const auto contract = view.contract(key.value().workspace);
            if (!key.value().withdrawn && (!contract || contract->withdrawn))
                return "a key outlived its contract";
        }
        for (const std::string &hash : m_withdrawn) {
            if (!view.apiKeyByHash(hash))
                return "a withdrawn key was forgotten";
        }
        return {};
    }

    std::uint64_t m_revision = 0;
    std::map<std::string, std::string> m_answers;
    std::map<std::string, std::uint64_t> m_fences;
    std::set<std::string> m_withdrawn;
};

/// Everything that entries read in a view.
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

using Tamper = std::function<void(wire::DirectoryCommand &)>;

/// Runs one seed on a steady and a restarting replica; \a tamper is a fault of the machine.
std::string runSeed(unsigned seed, const Tamper &tamper)
{
    RandomWrites writes(seed);
    Invariants invariants;
    DirectoryDriver steady;
    DirectoryDriver restarting;
    std::vector<DirectoryView> followers(4);
    for (int step = 0; step < steps; ++step) {
        steady.nowMs += static_cast<std::int64_t>(writes.below(300));
        const wire::DirectoryCommand command = writes.next(steady.nowMs, steady.view());
        wire::DirectoryCommand applied = command;
        tamper(applied);
        const auto answer = steady.apply(applied);
        if (textOf(answer) != textOf(restarting.apply(applied)))
            return "the restored replica gave another answer";
        const DirectoryView view = steady.view();
        const std::string fault = invariants.check(command, answer, view, steady.query(0));
        if (!fault.empty())
            return concat("seed ", seed, ", step ", step, ": ", fault);
        DirectoryView &follower = followers[writes.below(followers.size())];
        follower = restarting.followFrom(follower);
        if (summary(follower) != summary(view))
            return concat(summary(follower), " differs from ", summary(view));
        if (writes.below(10) == 0)
            restarting.restart();
    }
    const bool same = steady.machine().snapshot() == restarting.machine().snapshot();
    return same ? "" : "the restored replica has another state";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ModelTest)

// Guards against lost updates, second effects of resends (F5), returning keys (R6), fencing numbers
// that go back, state that a snapshot leaves out, and deltas that differ from a snapshot.
BOOST_AUTO_TEST_CASE(randomWritesKeepTheInvariants)
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
        BOOST_TEST(runSeed(seed, [](wire::DirectoryCommand &) {}) == "");
}

// Shows that the invariants catch a machine that does not remember request ids.
BOOST_AUTO_TEST_CASE(invariantsCatchForgottenRequestIds)
{
    const std::string fault =
            runSeed(1, [](wire::DirectoryCommand &command) { command.requestId.clear(); });
    BOOST_TEST(fault.find("resend") != std::string::npos, fault);
}

BOOST_AUTO_TEST_SUITE_END()
