#include "commandtable.h"

#include "session.h"

namespace rattanrill::ctl {
namespace {

constexpr const char *readErrors = "`no_quorum` or `not_leader` when the group has no leader.";
constexpr const char *writeErrors =
        "`conflict` when the revision of the record differs from the base revision; "
        "`duplicate_request` when the request id was used for another write; `invalid_request`.";
constexpr const char *removeErrors =
        "`not_found`; `conflict` when the revision of the record differs from the base revision.";

CommandSpec listCommand(const std::string &noun, const std::string &path,
                        const std::string &summary, const std::string &description,
                        std::vector<std::string> columns)
{
    CommandSpec spec;
    spec.words = noun + " list";
    spec.summary = summary;
    spec.description = description;
    spec.errors = readErrors;
    spec.example = "rattanrillctl " + spec.words;
    spec.method = "GET";
    spec.path = path;
    spec.columns = std::move(columns);
    spec.handler = &Session::list;
    return spec;
}

CommandSpec writeCommand(const std::string &words, const std::string &method,
                         const std::string &path, const std::string &idKey)
{
    CommandSpec spec;
    spec.words = words;
    spec.errors = method == "DELETE" ? removeErrors : writeErrors;
    spec.method = method;
    spec.path = path;
    spec.idKey = idKey;
    spec.handler = &Session::write;
    return spec;
}

CommandSpec contractPut()
{
    CommandSpec spec = writeCommand("contract put", "PUT", "contracts", "workspace");
    spec.summary = "Write the contract of a workspace";
    spec.description =
            "Writes a new contract or replaces the whole contract of the workspace. Rate and "
            "burst apply to the whole fleet.";
    spec.positionals = {{"WORKSPACE", "", ValueKind::Text, "name of the workspace"}};
    spec.options = {
            {"--rate", "N", ValueKind::Number, "rate_per_second", "requests per second", "", true},
            {"--burst", "N", ValueKind::Number, "burst",
             "requests that may exceed the rate at once", "", true},
            {"--batch-share", "N", ValueKind::Number, "batch_share",
             "weight of the workspace's batch work relative to other workspaces; 0 grants no batch "
             "work",
             "0", false},
            {"--retention-seconds", "N", ValueKind::Integer, "retention_seconds",
             "how long batch results stay readable after the job has ended, in seconds",
             "604800 (7 days)", false},
            {"--region-share", "REGION=SHARE", ValueKind::Shares, "region_shares",
             "share of rate and burst (0 to 1) of a region while regions are partitioned; may be "
             "repeated",
             "none", false},
    };
    spec.example = "rattanrillctl contract put lantern-crew --rate 10 --burst 20 --batch-share 4";
    return spec;
}

CommandSpec contractWithdraw()
{
    CommandSpec spec = writeCommand("contract withdraw", "DELETE", "contracts", "workspace");
    spec.summary = "Withdraw a contract and its keys";
    spec.description = "Revokes everything that the contract grants to the workspace, and "
                       "withdraws all its keys.";
    spec.positionals = {{"WORKSPACE", "", ValueKind::Text, "name of the workspace"}};
    spec.example = "rattanrillctl contract withdraw lantern-crew";
    return spec;
}

CommandSpec keyAdd()
{
    CommandSpec spec = writeCommand("key add", "POST", "keys", "");
    spec.summary = "Add a caller's key to a workspace";
    spec.description =
            "Generates a new key and shows it once; only its hash is stored. If the "
            "response is lost and the request is resent, the key cannot be shown again: the "
            "command then fails and reports the key id, so that the key can be withdrawn.";
    spec.positionals = {{"WORKSPACE", "workspace", ValueKind::Text, "name of the workspace"}};
    spec.errors = "`not_found` when the workspace has no contract; `conflict` when the contract is "
                  "withdrawn.";
    spec.example = "rattanrillctl key add lantern-crew";
    spec.handler = &Session::addKey;
    return spec;
}

CommandSpec keyWithdraw()
{
    CommandSpec spec = writeCommand("key withdraw", "DELETE", "keys", "key_id");
    spec.summary = "Withdraw a key";
    spec.description = "The key stops working within seconds, also on open connections.";
    spec.positionals = {{"KEY_ID", "", ValueKind::Text, "id of the key, from `key list`"}};
    spec.example = "rattanrillctl key withdraw key_0123456789abcdef";
    return spec;
}

CommandSpec configPut()
{
    CommandSpec spec = writeCommand("config put", "PUT", "configs", "name");
    spec.summary = "Write a configuration value";
    spec.description = "Writes a new value or replaces one; it is in force on all entry instances "
                       "within seconds.";
    spec.positionals = {{"NAME", "", ValueKind::Text, "name of the value"},
                        {"VALUE", "value", ValueKind::Json, "JSON text"}};
    spec.example = "rattanrillctl config put batch '{\"reserve\": 0.2}'";
    return spec;
}

CommandSpec configWait()
{
    CommandSpec spec;
    spec.words = "config wait";
    spec.summary = "Wait until a revision is in force on all entry instances";
    spec.description =
            "Polls the leader of the directory until the heartbeats of all members report the "
            "revision.";
    spec.options = {
            {"--revision", "N", ValueKind::Integer, "", "directory revision", "", true},
            {"--timeout", "SECONDS", ValueKind::Number, "", "how long to wait, in seconds", "10",
             false},
    };
    spec.errors = "`timeout` with the instances on which the revision is not in force.";
    spec.example = "rattanrillctl config wait --revision 42 --timeout 20";
    spec.method = "GET";
    spec.path = "in_force";
    spec.handler = &Session::waitUntilInForce;
    return spec;
}

CommandSpec routePut()
{
    CommandSpec spec = writeCommand("route put", "PUT", "routes", "name");
    spec.summary = "Write a route to a plain service";
    spec.description = "Requests whose path starts with the prefix go to the service.";
    spec.positionals = {{"NAME", "", ValueKind::Text, "name of the route"}};
    spec.options = {
            {"--path-prefix", "PATH", ValueKind::Text, "path_prefix",
             "prefix of the request paths; whole segments are compared", "", true},
            {"--service", "NAME", ValueKind::Text, "service", "name of the service", "", true},
            {"--open", "", ValueKind::Flag, "open", "requests need no key", "off", false},
            {"--idempotent", "", ValueKind::Flag, "idempotent",
             "a repeated call has no further effect", "off", false},
    };
    spec.example = "rattanrillctl route put desk --path-prefix /desk/ --service order-desk";
    return spec;
}

CommandSpec removeCommand(const std::string &noun, const std::string &path,
                          const std::string &summary, const std::string &description)
{
    CommandSpec spec = writeCommand(noun + " remove", "DELETE", path, "name");
    spec.summary = summary;
    spec.description = description;
    spec.positionals = {{"NAME", "", ValueKind::Text, "name of the " + noun}};
    spec.example = "rattanrillctl " + spec.words + " example-1";
    return spec;
}

CommandSpec upstreamPut()
{
    CommandSpec spec = writeCommand("upstream put", "PUT", "upstreams", "name");
    spec.summary = "Write an upstream";
    spec.description =
            "Adds an engine or a service, or changes one. A leaving upstream receives no new "
            "requests after a few seconds.";
    spec.positionals = {{"NAME", "", ValueKind::Text, "name of the upstream"}};
    spec.options = {
            {"--kind", "engine|service", ValueKind::Text, "kind", "kind of upstream", "engine",
             false},
            {"--serves", "NAME", ValueKind::Text, "serves", "model or service that it serves", "",
             true},
            {"--host", "IP", ValueKind::Text, "host", "IP address", "", true},
            {"--port", "N", ValueKind::Integer, "port", "TCP port", "", true},
            {"--failure-domain", "NAME", ValueKind::Text, "failure_domain",
             "failure domain of the upstream", "", true},
            {"--state", "active|leaving", ValueKind::Text, "state", "state of the upstream",
             "active", false},
            {"--checks-fence", "", ValueKind::Flag, "checks_fence",
             "the upstream rejects commands with an outdated fencing token", "off", false},
    };
    spec.example = "rattanrillctl upstream put engine-1 --kind engine --serves lamplight-lm "
                   "--host 127.0.30.1 --port 9000 --failure-domain tx-central-a";
    return spec;
}

CommandSpec heldRelease()
{
    CommandSpec spec = writeCommand("held release", "DELETE", "held", "fingerprint");
    spec.summary = "Release a held request";
    spec.description = "The request with this fingerprint may run again; the record of its crashes "
                       "is deleted.";
    spec.positionals = {{"FINGERPRINT", "", ValueKind::Text, "from `held list`"}};
    spec.example = "rattanrillctl held release 6f1d9c0e";
    return spec;
}

CommandSpec statusCommand()
{
    CommandSpec spec;
    spec.words = "status";
    spec.summary = "Show groups, leaders, members and the revision";
    spec.description = "Shows the state of the groups on the instance that responds. The "
                       "revision is shown only when a leader confirms it.";
    spec.errors = "None, unless no control instance can be reached.";
    spec.example = "rattanrillctl --json status";
    spec.method = "GET";
    spec.path = "status";
    spec.handler = &Session::status;
    return spec;
}

CommandSpec placementExplain()
{
    CommandSpec spec;
    spec.words = "placement explain";
    spec.summary = "Explain where a request would be routed now";
    spec.description =
            "Asks the slot broker, which is one of the stores of the users' platform, where a "
            "request or batch item would be routed if it arrived now, and why, without sending it. "
            "Nothing changes at the broker. `--server` names the metrics addresses of stores, "
            "which "
            "are tried in turn until one is the broker; the token is not needed. Shows the outcome "
            "(`granted`, `preempts`, `waits`, `rejected`, `over_rate`), the rule that selected the "
            "upstream, the workspace's rate, the time since the broker last decided, and for each "
            "upstream its load and the reason why it is not a candidate.";
    spec.options = {
            {"--route", "NAME", ValueKind::Text, "route", "name of the route", "", true},
            {"--workspace", "NAME", ValueKind::Text, "workspace",
             "name of the workspace; empty for a request without a key", "", true},
            {"--kind", "online|batch", ValueKind::Text, "kind", "kind of request",
             "the kind of the route", false},
            {"--service", "NAME", ValueKind::Text, "service",
             "one of the services of the route, which is selected by the id of a request",
             "the one with the largest weight", false},
            {"--failure-domain", "NAME", ValueKind::Text, "failure_domain",
             "failure domain of the sending entry", "none; for batch that of the broker", false},
            {"--instance", "NAME", ValueKind::Text, "instance", "instance of the sending entry",
             "none; for batch the broker", false},
            {"--priority", "N", ValueKind::Integer, "priority", "0 is served first",
             "that of the workspace or route", false},
            {"--prompt-tokens", "N", ValueKind::Integer, "prompt_tokens", "tokens of the prompt",
             "0", false},
            {"--output-tokens", "N", ValueKind::Integer, "output_tokens", "tokens to generate", "0",
             false},
            {"--version", "TEXT", ValueKind::Text, "version",
             "version that the upstream must have, as for a stream that is resumed", "any", false},
            {"--excluded", "ID", ValueKind::Texts, "excluded",
             "upstream that the request was sent to before, so that it isn't charged to the rate "
             "again; not for batch items; may be repeated up to 16 times",
             "none", false},
    };
    spec.errors = "`not_leader` with the instance of the broker when no server is the broker; "
                  "`not_ready` while the broker has no configuration or no list of upstreams; "
                  "`invalid_request` with the parameter and its value; `malformed_message` when a "
                  "server is not a store, or one of an earlier version.";
    spec.example = "rattanrillctl placement explain --server 10.0.0.7:9100 --server 10.0.1.7:9100 "
                   "--route chat --workspace lantern-crew --failure-domain tx-central-a";
    spec.method = "GET";
    spec.path = "placement";
    spec.columns = {"id",
                    "failure_domain",
                    "version",
                    "slots",
                    "requests",
                    "requests_of_others",
                    "load_report_age_ms",
                    "pace",
                    "cost",
                    "cold_remaining_ms",
                    "reason",
                    "reason_remaining_ms"};
    spec.serverNoun = "store";
    spec.serverHelp = "metrics address of a store; may be repeated, the servers are tried in turn";
    spec.needsToken = false;
    spec.handler = &Session::explainPlacement;
    return spec;
}

CommandSpec batchCancel()
{
    CommandSpec spec = writeCommand("batch cancel", "POST", "batches", "");
    spec.pathSuffix = "/cancel";
    spec.summary = "Cancel a batch job";
    spec.description =
            "Items that have not finished end as cancelled; finished ones stay readable.";
    spec.positionals = {{"ID", "", ValueKind::Text, "id of the job, from `batch list`"}};
    spec.errors = "`not_found`; `job_finished`.";
    spec.example = "rattanrillctl batch cancel batch_0123";
    return spec;
}

CommandSpec replicaAdd()
{
    CommandSpec spec = writeCommand("replica add", "POST", "replicas", "");
    spec.summary = "Add a replica to a group";
    spec.description = "The replica first receives the state of the group and becomes a voter once "
                       "it has caught up. The "
                       "settings of all control instances must list it.";
    spec.positionals = {{"GROUP", "group", ValueKind::Text, "directory or batch-N"},
                        {"REPLICA", "replica", ValueKind::Text, "instance name"}};
    spec.options = {{"--replaces", "REPLICA", ValueKind::Text, "replaces",
                     "replica that is removed once the new one is a voter", "none", false}};
    spec.errors = "`invalid_request` for a replica that the settings do not list; `timeout` when "
                  "the replica "
                  "does not catch up in time.";
    spec.example = "rattanrillctl replica add directory control-4 --replaces control-2";
    return spec;
}

CommandSpec replicaRemove()
{
    CommandSpec spec = writeCommand("replica remove", "DELETE", "replicas", "");
    spec.summary = "Remove a replica from a group";
    spec.description = "The replica stops voting and receiving the group's log.";
    spec.positionals = {{"GROUP", "group", ValueKind::Text, "directory or batch-N"},
                        {"REPLICA", "", ValueKind::Text, "instance name"}};
    spec.errors = "`not_member`; `timeout`.";
    spec.example = "rattanrillctl replica remove directory control-2";
    return spec;
}

CommandSpec helpCommand()
{
    CommandSpec spec;
    spec.words = "help";
    spec.summary = "Show commands and options";
    spec.description = "Shows the list of commands. With `--markdown`, prints the pages of "
                       "docs/commands or, with "
                       "`--command` as well, the page of one command.";
    spec.options = {
            {"--markdown", "", ValueKind::Flag, "", "print pages in Markdown", "off", false},
            {"--command", "WORDS", ValueKind::Text, "", "one command, such as \"key add\"", "all",
             false}};
    spec.errors = "None.";
    spec.example = "rattanrillctl help --markdown --command \"key add\"";
    spec.handler = &Session::help;
    return spec;
}

std::vector<CommandSpec> makeCommandTable()
{
    return {
            listCommand("contract", "contracts", "List contracts",
                        "Shows all contracts, withdrawn ones included.",
                        {"workspace", "rate_per_second", "burst", "batch_share",
                         "retention_seconds", "withdrawn", "revision"}),
            contractPut(),
            contractWithdraw(),
            listCommand("key", "keys", "List keys",
                        "Shows the ids and workspaces of all keys, but not the keys.",
                        {"key_id", "workspace", "withdrawn", "revision"}),
            keyAdd(),
            keyWithdraw(),
            listCommand("config", "configs", "List configuration values",
                        "Shows all configuration values.", {"name", "value", "revision"}),
            configPut(),
            configWait(),
            listCommand("route", "routes", "List routes", "Shows all routes to plain services.",
                        {"name", "path_prefix", "service", "open", "idempotent", "revision"}),
            routePut(),
            removeCommand("route", "routes", "Remove a route",
                          "Requests with its path prefix no longer match this route."),
            listCommand("upstream", "upstreams", "List upstreams", "Shows all upstreams.",
                        {"name", "kind", "serves", "host", "port", "failure_domain", "state",
                         "revision"}),
            upstreamPut(),
            removeCommand(
                    "upstream", "upstreams", "Remove an upstream",
                    "Entry instances no longer send requests to it. First set its state to leaving "
                    "(`upstream put --state leaving`), so that its running requests can finish."),
            listCommand("member", "members", "List members",
                        "Shows the entry instances that the directory has acknowledged.",
                        {"instance", "failure_domain", "peer_address", "http_address",
                         "incarnation", "revision"}),
            listCommand("held", "held", "List held requests",
                        "Shows the fingerprints of requests that crashed upstreams; those that "
                        "crashed two upstreams are held, which means that all entry instances "
                        "reject them.",
                        {"fingerprint", "held", "crashed_upstreams", "expires_at_ms", "revision"}),
            heldRelease(),
            statusCommand(),
            listCommand("batch", "batches", "List batch jobs", "Shows the jobs of all workspaces.",
                        {"id", "workspace", "state", "counts", "due_at_ms"}),
            batchCancel(),
            placementExplain(),
            replicaAdd(),
            replicaRemove(),
            helpCommand(),
    };
}

} // namespace

const std::vector<CommandSpec> &commandTable()
{
    static const std::vector<CommandSpec> table = makeCommandTable();
    return table;
}

const std::vector<OptionSpec> &commonOptions()
{
    static const std::vector<OptionSpec> options = {
            {"--server", "HOST:PORT", ValueKind::Text, "",
             "operator address of a control instance; may be repeated, the servers are tried in "
             "turn",
             "", false},
            {"--token-file", "FILE", ValueKind::Text, "", "file with the operator token", "",
             false},
            {"--json", "", ValueKind::Flag, "", "print responses and errors as JSON", "off", false},
            {"--base-revision", "N", ValueKind::Integer, "",
             "revision of the record that a write is based on; 0 for a new record",
             "the current revision, read first", false},
            {"--request-id", "TEXT", ValueKind::Text, "",
             "id of a write; a write that is repeated with the same id takes effect once", "random",
             false},
            {"--help", "", ValueKind::Flag, "", "show the help of a command", "off", false},
    };
    return options;
}

} // namespace rattanrill::ctl
