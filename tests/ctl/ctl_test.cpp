#include "commandtable.h"
#include "ctl.h"
#include "help.h"
#include "invocation.h"
#include "scriptedserver.h"
#include "session.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/settings/program.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace rattanrill;
using namespace rattanrill::ctl;

namespace {

struct RunResult
{
    int code = 0;
    std::string out;
    std::string err;
};

/// File with an operator token; the destructor removes it.
struct TokenFile
{
    TokenFile() { std::ofstream(name) << "operator-token\n"; }
    ~TokenFile() { std::remove(name.c_str()); }

    const std::string name = concat("ctl-test-token-", randomHex(8));
};

RunResult run(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runCtl(arguments, out, err);
    return RunResult{code, out.str(), err.str()};
}

RunResult runWithServers(const std::vector<std::string> &servers,
                         const std::vector<std::string> &command)
{
    const TokenFile token;
    std::vector<std::string> arguments = {"--token-file", token.name, "--json"};
    for (const std::string &server : servers) {
        arguments.push_back("--server");
        arguments.push_back(server);
    }
    arguments.insert(arguments.end(), command.begin(), command.end());
    return run(arguments);
}

std::string errorBody(const char *code, const char *runState)
{
    return concat(R"({"error":{"code":")", code, R"(","run":")", runState,
                  R"(","message":"why"}})");
}

/// Address of a server that has been stopped.
std::string unusedAddress()
{
    std::string address;
    {
        ScriptedServer server({Step{}});
        address = server.address();
    }
    return address;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

const std::vector<std::string> putContractCommand = {"contract", "put",     "w1", "--rate",
                                                     "1",        "--burst", "2"};

} // namespace

BOOST_AUTO_TEST_SUITE(CtlTest)

// Guards against a request that is sent for an invalid command line.
BOOST_AUTO_TEST_CASE(invalidArgumentsExitWith2AndSendNoRequest)
{
    ScriptedServer server({Step{}});
    for (const std::vector<std::string> &command : std::vector<std::vector<std::string>>{
                 {},
                 {"contract"},
                 {"contract", "puts"},
                 {"contract", "put", "w1"},
                 {"contract", "put", "w1", "--rate", "many", "--burst", "1"},
                 {"contract", "put", "w1", "w2", "--rate", "1", "--burst", "1"},
                 {"contract", "list", "--rate", "1"},
                 {"contract", "list", "--nothing"},
                 {"contract", "list", "--base-revision", "-1"},
                 {"config", "put", "name", "{"},
                 {"config", "wait"},
         }) {
        const RunResult result = runWithServers({server.address()}, command);
        BOOST_TEST(result.code == exitUsage, result.err);
        BOOST_TEST(contains(result.err, "invalid_argument"));
    }
    BOOST_TEST(server.requests().empty());
    BOOST_TEST(run({"status"}).code == exitUsage);
}

// Guards against options that are missing or misplaced in the request, and against a write that is
// based on another revision than the record's current one.
BOOST_AUTO_TEST_CASE(writeSendsOptionsAndCurrentRevisionAsBase)
{
    ScriptedServer server({Step{200, R"({"items":[{"workspace":"w/1","revision":7}]})", ""},
                           Step{200, R"({"revision":8})", ""}});
    const RunResult result = runWithServers(
            {server.address()}, {"contract", "put", "w/1", "--rate", "1.5", "--burst=2",
                                 "--region-share", "a=0.5", "--region-share", "b=0.25"});
    BOOST_TEST(result.code == exitOk, result.err);
    BOOST_TEST(result.out == "{\"revision\":8}\n");
    const auto &sent = server.requests().back();
    BOOST_TEST(sent.method == "PUT");
    BOOST_TEST(sent.path == "/operator/v1/contracts/w%2F1");
    BOOST_TEST(sent.authorization == "Bearer operator-token");
    BOOST_TEST(sent.body.at("base_revision") == 7);
    BOOST_TEST(sent.body.at("rate_per_second") == 1.5);
    BOOST_TEST(sent.body.at("region_shares").dump() == R"({"a":0.5,"b":0.25})");
    BOOST_TEST(sent.body.at("request_id").get<std::string>().size() == 32u);
}

// Guards against a write that takes effect twice: its response is lost, and the resent request has
// another request id or body.
BOOST_AUTO_TEST_CASE(requestIsResentWithSameIdWhenResponseIsLost)
{
    ScriptedServer server({Step{0, "", ""},
                           Step{503, errorBody("proposal_lost", "may_have_run"), ""},
                           Step{200, R"({"revision":8})", ""}});
    std::vector<std::string> command = putContractCommand;
    command.insert(command.end(), {"--base-revision", "3"});
    const RunResult result = runWithServers({server.address()}, command);
    BOOST_TEST(result.code == exitOk, result.err);
    BOOST_REQUIRE(server.requests().size() == 3u);
    for (const auto &sent : server.requests())
        BOOST_TEST(sent.body == server.requests().front().body);
}

// Guards against resending a write that the server rejected with a permanent error.
BOOST_AUTO_TEST_CASE(rejectedWriteExitsWith1AndIsNotResent)
{
    ScriptedServer server({Step{409, errorBody("conflict", "not_run"), ""}});
    std::vector<std::string> command = putContractCommand;
    command.insert(command.end(), {"--base-revision", "3", "--request-id", "mine"});
    const RunResult result = runWithServers({server.address()}, command);
    BOOST_TEST(result.code == exitFailure);
    BOOST_TEST(contains(result.err, "conflict"));
    BOOST_REQUIRE(server.requests().size() == 1u);
    BOOST_TEST(server.requests().front().body.at("request_id") == "mine");
}

// Guards against a command that fails although a leader is up: the first server is down and the
// second one is a follower.
BOOST_AUTO_TEST_CASE(redirectsAreFollowedAndUnreachableServersAreSkipped)
{
    ScriptedServer leader({Step{200, R"({"items":[],"revision":1})", ""}});
    ScriptedServer follower({Step{307, errorBody("not_leader", "not_run"),
                                  concat("http://", leader.address(), "/operator/v1/contracts")}});
    const RunResult result =
            runWithServers({unusedAddress(), follower.address()}, {"contract", "list"});
    BOOST_TEST(result.code == exitOk, result.err);
    BOOST_TEST(leader.requests().size() == 1u);
    BOOST_TEST(leader.requests().front().authorization == "Bearer operator-token");
}

// Guards against an exit code that does not distinguish an unreachable deployment from a rejected
// request.
BOOST_AUTO_TEST_CASE(unreachableServersExitWith3)
{
    const RunResult result = runWithServers({unusedAddress()}, {"status"});
    BOOST_TEST(result.code == exitUnreachable);
    BOOST_TEST(contains(result.err, "connection_lost"));
}

// Guards against reporting success for a key that nobody can use: the response with the key was
// lost, and the response to the resent request has only the key id.
BOOST_AUTO_TEST_CASE(keyAddFailsWhenResponseHasNoKey)
{
    ScriptedServer server({Step{200, R"({"key_id":"key_1","revision":8})", ""}});
    const RunResult result = runWithServers({server.address()}, {"key", "add", "w1"});
    BOOST_TEST(result.code == exitFailure);
    BOOST_TEST(contains(result.err, "key_1"));
}

// Guards against a wait that ends before the revision is in force everywhere, and against a
// time-out whose message does not name the instances that lack the revision.
BOOST_AUTO_TEST_CASE(waitReportsInstancesThatLackRevision)
{
    ScriptedServer server({Step{200, R"({"in_force":false,"lacking":["entry-2"]})", ""}});
    const RunResult timedOut = runWithServers(
            {server.address()}, {"config", "wait", "--revision", "9", "--timeout", "0.3"});
    BOOST_TEST(timedOut.code == exitFailure);
    BOOST_TEST(contains(timedOut.err, "entry-2"));
    ScriptedServer reached({Step{200, R"({"in_force":false,"lacking":["entry-2"]})", ""},
                            Step{200, R"({"in_force":true,"lacking":[]})", ""}});
    const RunResult result =
            runWithServers({reached.address()}, {"config", "wait", "--revision", "9"});
    BOOST_TEST(result.code == exitOk, result.err);
    BOOST_TEST(reached.requests().front().path == "/operator/v1/in_force?revision=9");
}

// Guards against an explanation that ends at a store which is not the broker, against parameters
// that are lost or not escaped, and against a command that asks for a token which the stores don't
// need.
BOOST_AUTO_TEST_CASE(placementIsExplainedByTheBroker)
{
    ScriptedServer follower({Step{503, errorBody("not_leader", "not_run"), ""}});
    ScriptedServer broker({Step{200, R"({"outcome":"granted","rule":"least_cost","rate":{"level":2},
        "upstream":"u-1","upstreams":[{"id":"u-1","reason":null},{"id":"u-2","reason":"leaving"}]})",
                                ""}});
    const std::vector<std::string> command = {
            "placement",   "explain",       "--route",         "chat/a",
            "--workspace", "w&x",           "--excluded",      "u-3",
            "--excluded",  "u-4",           "--prompt-tokens", "12",
            "--server",    unusedAddress(), "--server",        follower.address(),
            "--server",    broker.address()};
    const RunResult result = run(command);
    BOOST_TEST_REQUIRE(result.code == exitOk, result.err);
    BOOST_TEST(broker.requests().front().path
               == "/operator/v1/placement?excluded=u-3&excluded=u-4&prompt_tokens=12"
                  "&route=chat%2Fa&workspace=w%26x");
    BOOST_TEST(broker.requests().front().authorization.empty());
    BOOST_TEST(follower.requests().size() == 1u);
    for (const char *part :
         {"outcome: granted", "rule: least_cost", "rate: {\"level\":2}", "leaving"})
        BOOST_TEST(contains(result.out, part), result.out);
    std::vector<std::string> asJson = command;
    asJson.emplace_back("--json");
    BOOST_TEST(Json::parse(run(asJson).out).at("upstreams").size() == 2u);
}

// Guards against a failure that hides which store is the broker, or what is wrong with the query.
BOOST_AUTO_TEST_CASE(refusedExplanationIsReported)
{
    ScriptedServer follower({Step{503, errorBody("not_leader", "not_run"), ""}});
    ScriptedServer broker({Step{400, errorBody("invalid_request", "not_run"), ""}});
    const std::vector<std::string> command = {"placement",   "explain", "--route", "r",
                                              "--workspace", "w",       "--server"};
    std::vector<std::string> toFollower = command;
    toFollower.push_back(follower.address());
    const RunResult notLeader = run(toFollower);
    BOOST_TEST(notLeader.code == exitFailure);
    BOOST_TEST(contains(notLeader.err, "not_leader: why"));
    BOOST_TEST(follower.requests().size() == 1u);
    std::vector<std::string> toBroker = command;
    toBroker.insert(toBroker.end(), {broker.address(), "--server", follower.address()});
    BOOST_TEST(contains(run(toBroker).err, "invalid_request: why"));
    std::vector<std::string> toNone = command;
    toNone.push_back(unusedAddress());
    BOOST_TEST(run(toNone).code == exitUnreachable);
}

// Guards against a command that ends, by a failure or an exception, at a server which is not a
// store or of an earlier version, and against output that hides why a request is rejected or how
// old the last decision is.
BOOST_AUTO_TEST_CASE(serversThatExplainNothingArePassedOver)
{
    ScriptedServer metrics({Step{200, "rattanrill_memory_used_bytes 1\n", ""}, Step{200, "[1]", ""},
                            Step{200, R"({"items":[]})", ""},
                            Step{404, R"({"error":{"code":404}})", ""}});
    ScriptedServer broker({Step{200, R"({"outcome":"rejected","version_gone":true,
        "last_decision_age_ms":70,"upstreams":[]})",
                                ""}});
    std::vector<std::string> command = {"placement", "explain", "--route", "r", "--workspace", "w"};
    for (int i = 0; i < 3; ++i)
        command.insert(command.end(), {"--server", metrics.address()});
    const RunResult none = run(command);
    BOOST_TEST(none.code == exitFailure);
    BOOST_TEST(contains(none.err, "gave no explanation"), none.err);
    command.insert(command.end(), {"--server", broker.address()});
    const RunResult result = run(command);
    BOOST_TEST(result.code == exitOk, result.err);
    BOOST_TEST(contains(result.out, "version_gone: true"), result.out);
    BOOST_TEST(contains(result.out, "last_decision_age_ms: 70"), result.out);
}

// Guards against a help that asks for the address of a server that can't respond.
BOOST_AUTO_TEST_CASE(helpNamesTheServersOfTheCommand)
{
    const std::string help = run({"placement", "explain", "--help"}).out;
    BOOST_TEST(contains(help, "metrics address of a store"), help);
    BOOST_TEST(!contains(help, "control instance"), help);
    BOOST_TEST(contains(run({"status", "--help"}).out, "operator address of a control instance"));
}

// Guards against outdated pages in docs/commands: the command table was changed, but the pages were
// not generated again.
BOOST_AUTO_TEST_CASE(commandPagesMatchCommandTable)
{
    for (const CommandSpec &command : commandTable()) {
        const std::string file = concat(RATTANRILL_DOCS "/commands/", pageName(command));
        std::ifstream stream(file);
        std::ostringstream text;
        text << stream.rdbuf();
        BOOST_TEST((text.str() == commandPage(command)), file << " is not up to date");
        BOOST_TEST(contains(overviewText(), command.words));
    }
}

BOOST_AUTO_TEST_SUITE_END()
