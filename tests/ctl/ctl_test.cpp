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
