#include "testfleet.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::entry {
namespace {

constexpr int partitions = 2;
constexpr int clientTimeoutSeconds = 20;
constexpr absl::Duration waitLimit = absl::Seconds(15);

std::string keyOf(const std::string &workspace)
{
    return "key-" + workspace;
}

EntrySettings testSettings(const std::string &control)
{
    EntrySettings settings;
    settings.failureDomain = "a";
    settings.httpHost = "127.0.0.1";
    settings.peerHost = "127.0.0.1";
    settings.clusterSecret = testSecret;
    settings.control = {control};
    settings.partitions = partitions;
    settings.http.maxConnections = 48;
    settings.http.maxBodyBytes = 64u << 20;
    settings.batch.maxRunning = 16;
    settings.batch.dispatchInterval = absl::Milliseconds(10);
    settings.timings.heartbeatInterval = absl::Milliseconds(100);
    settings.timings.loadPollInterval = absl::Milliseconds(30);
    // Short, because the bucket of a new owner stays empty until the former owner's lease ends.
    settings.timings.ownerLease = absl::Milliseconds(300);
    settings.timings.drainNotice = absl::Milliseconds(100);
    settings.timings.controlTimeout = absl::Seconds(1);
    settings.scheduler.failureDomain = "a";
    settings.scheduler.maxOnlineQueueTime = absl::Seconds(5);
    return settings;
}

} // namespace

bool eventually(const std::function<bool()> &condition)
{
    const absl::Time end = absl::Now() + waitLimit;
    while (absl::Now() < end) {
        if (condition())
            return true;
        absl::Notification().WaitForNotificationWithTimeout(absl::Milliseconds(10));
    }
    return false;
}

Json errorOf(const httplib::Result &result)
{
    BOOST_REQUIRE(result);
    const Json body = Json::parse(result->body, nullptr, false);
    return body.is_object() ? body.value("error", Json::object()) : Json::object();
}

std::string completionBody(const std::string &prompt, int tokens, bool stream)
{
    return Json{
            {"model", testModel}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}}
            .dump();
}

// StreamedCall

StreamedCall::StreamedCall(int port, const std::string &key, const std::string &prompt, int tokens)
{
    m_thread = std::thread([this, port, key, prompt, tokens] {
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(clientTimeoutSeconds);
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = completionBody(prompt, tokens, true);
        request.set_header("Content-Type", "application/json");
        request.set_header("Authorization", "Bearer " + key);
        request.response_handler = [this](const httplib::Response &response) {
            status = response.status;
            return true;
        };
        request.content_receiver = [this](const char *data, std::size_t size, std::uint64_t,
                                          std::uint64_t) {
            appendBytes(std::string_view(data, size));
            return true;
        };
        (void)client.send(request);
        if (status != 200)
            handleEvent(m_buffer);
        absl::MutexLock lock(&m_mutex);
        m_ended = true;
    });
}

StreamedCall::~StreamedCall()
{
    join();
}

void StreamedCall::appendBytes(std::string_view bytes)
{
    m_buffer += bytes;
    for (std::size_t end = m_buffer.find("\n\n"); status == 200 && end != std::string::npos;
         end = m_buffer.find("\n\n")) {
        handleEvent(std::string_view(m_buffer).substr(6, end - 6));
        m_buffer.erase(0, end + 2);
    }
}

void StreamedCall::handleEvent(std::string_view data)
{
    if (data == "[DONE]") {
        complete = true;
        return;
    }
    const Json event = Json::parse(data.begin(), data.end(), nullptr, false);
    if (!event.is_object())
        return;
    if (event.contains("error")) {
        errorCode = event.at("error").at("code");
        errorRun = event.at("error").at("run");
        return;
    }
    absl::MutexLock lock(&m_mutex);
    if (!event.at("choices").empty())
        m_text += event.at("choices").at(0).at("text").get<std::string>();
}

bool StreamedCall::awaitText(const std::string &expected)
{
    absl::MutexLock lock(&m_mutex);
    const auto arrived = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_ended || m_text.size() >= expected.size();
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&arrived), waitLimit);
    return m_text.substr(0, expected.size()) == expected;
}

void StreamedCall::join()
{
    if (m_thread.joinable())
        m_thread.join();
    absl::MutexLock lock(&m_mutex);
    text = m_text;
}

// TestFleet

TestFleet::TestFleet(int entries, int engines, int services)
    : m_control(partitions)
{
    m_settings = testSettings(m_control.address());
    for (int i = 0; i < engines; ++i) {
        m_engines.push_back(std::make_unique<ScriptedEngine>());
        putEngine(i);
    }
    for (int i = 0; i < services; ++i) {
        m_services.push_back(std::make_unique<ScriptedEngine>());
        putService(i);
    }
    addWorkspace("acme", 1000, 1000);
    for (int i = 0; i < entries; ++i)
        startEntry();
    awaitReady();
}

TestFleet::~TestFleet()
{
    for (const auto &engine : m_engines)
        engine->resume();
    for (const auto &service : m_services)
        service->resume();
    m_entries.clear();
}

void TestFleet::putUpstream(const ScriptedEngine &upstream, const std::string &name,
                            wire::UpstreamKind kind, wire::UpstreamState state)
{
    wire::Upstream record;
    record.name = name;
    record.kind = kind;
    record.serves = kind == wire::UpstreamKind::Engine ? testModel : "desk";
    record.host = "127.0.0.1";
    record.port = upstream.port();
    record.failureDomain = "a";
    record.state = state;
    m_control.write(wire::PutUpstream{record});
}

void TestFleet::putEngine(int i, wire::UpstreamState state)
{
    putUpstream(engine(i), concat("engine-", i), wire::UpstreamKind::Engine, state);
}

void TestFleet::putService(int i, wire::UpstreamState state)
{
    putUpstream(service(i), concat("service-", i), wire::UpstreamKind::Service, state);
}

void TestFleet::startEntry()
{
    m_settings.instance = concat("entry-", m_entries.size());
    m_entries.push_back(std::make_unique<Entry>(m_settings));
    BOOST_REQUIRE(outcomeOf([&] { return m_entries.back()->start(); }).ok());
}

void TestFleet::addWorkspace(const std::string &workspace, double rate, double burst)
{
    wire::Contract contract;
    contract.workspace = workspace;
    contract.ratePerSecond = rate;
    contract.burst = burst;
    contract.batchShare = 1;
    m_control.write(wire::PutContract{contract});
    wire::ApiKey key;
    key.keyId = "id-" + workspace;
    key.hash = sha256Hex(keyOf(workspace));
    key.workspace = workspace;
    m_control.write(wire::AddKey{key});
}

void TestFleet::awaitView(int i)
{
    const auto revision = static_cast<double>(m_control.revision());
    BOOST_REQUIRE(eventually([&] { return metric(i, "rattanrill_view_revision") >= revision; }));
}

void TestFleet::awaitReady()
{
    BOOST_REQUIRE(eventually([&] { return m_control.members() == m_entries.size(); }));
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        awaitView(static_cast<int>(i));
        // The bucket of a new owner fills only after the lease of the former owner has ended.
        BOOST_REQUIRE(eventually([&] {
            const auto result = complete(static_cast<int>(i), "acme", "warm up", 1);
            return result && result->status == 200;
        }));
    }
}

httplib::Result TestFleet::post(int entry, const std::string &path, const std::string &workspace,
                                const std::string &body, httplib::Headers headers,
                                const std::string &contentType)
{
    httplib::Client client("127.0.0.1", port(entry));
    client.set_read_timeout(clientTimeoutSeconds);
    if (!workspace.empty())
        headers.emplace("Authorization", "Bearer " + keyOf(workspace));
    return client.Post(path, headers, body, contentType);
}

httplib::Result TestFleet::get(int entry, const std::string &path, const std::string &workspace)
{
    httplib::Client client("127.0.0.1", port(entry));
    client.set_read_timeout(clientTimeoutSeconds);
    httplib::Headers headers;
    if (!workspace.empty())
        headers.emplace("Authorization", "Bearer " + keyOf(workspace));
    return client.Get(path, headers);
}

httplib::Result TestFleet::complete(int entry, const std::string &workspace,
                                    const std::string &prompt, int tokens)
{
    return post(entry, "/v1/completions", workspace, completionBody(prompt, tokens, false));
}

double TestFleet::metric(int entry, const std::string &series)
{
    const auto result = get(entry, "/metrics", "");
    if (!result)
        return 0;
    const std::size_t position = result->body.find("\n" + series + " ");
    return position == std::string::npos
                   ? 0
                   : std::strtod(result->body.c_str() + position + series.size() + 2, nullptr);
}

} // namespace rattanrill::entry
