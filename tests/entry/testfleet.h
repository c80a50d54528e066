#pragma once

#include "entry.h"
#include "fakecontrol.h"
#include "scriptedengine.h"

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rattanrill::entry {

constexpr const char *testSecret = "a secret of the tests";
constexpr const char *testModel = "m";

/// A streamed completion that is read on a separate thread.
class StreamedCall
{
public:
    StreamedCall(int port, const std::string &key, const std::string &prompt, int tokens);
    ~StreamedCall();

    /// Waits until as many bytes as in \a text were received; returns false when they differ from
    /// \a text, or when the stream ends or the time limit passes first.
    bool awaitText(const std::string &text);
    void join();

    /// The results are valid after join().
    std::string text;
    std::string errorCode;
    std::string errorRun;
    int status = 0;
    bool complete = false;

private:
    void appendBytes(std::string_view bytes);
    void handleEvent(std::string_view data);

    absl::Mutex m_mutex;
    std::string m_text ABSL_GUARDED_BY(m_mutex);
    bool m_ended ABSL_GUARDED_BY(m_mutex) = false;
    std::string m_buffer;
    std::thread m_thread;
};

/// Control, entries and upstreams in the test process.
class TestFleet
{
public:
    TestFleet(int entries, int engines, int services = 0);
    ~TestFleet();

    FakeControl &control() { return m_control; }
    ScriptedEngine &engine(int i) { return *m_engines.at(i); }
    ScriptedEngine &service(int i) { return *m_services.at(i); }
    Entry &entry(int i) { return *m_entries.at(i); }
    int port(int i) const { return m_entries.at(i)->httpPort(); }
    /// Settings for the entries that later calls of startEntry() start.
    EntrySettings &settings() { return m_settings; }
    void startEntry();
    /// Adds a contract for \a workspace and the API key "key-WORKSPACE".
    void addWorkspace(const std::string &workspace, double rate, double burst);
    /// Writes the directory record of engine \a i, of service \a i respectively.
    void putEngine(int i, wire::UpstreamState state = wire::UpstreamState::Active);
    void putService(int i, wire::UpstreamState state = wire::UpstreamState::Active);
    /// Waits until entry \a i applies all directory writes.
    void awaitView(int i);
    /// Waits until every entry has joined, applies all directory writes and serves requests.
    void awaitReady();

    httplib::Result post(int entry, const std::string &path, const std::string &workspace,
                         const std::string &body, httplib::Headers headers = {},
                         const std::string &contentType = "application/json");
    httplib::Result get(int entry, const std::string &path, const std::string &workspace);
    httplib::Result complete(int entry, const std::string &workspace, const std::string &prompt,
                             int tokens);
    double metric(int entry, const std::string &series);

private:
    void putUpstream(const ScriptedEngine &upstream, const std::string &name,
                     wire::UpstreamKind kind, wire::UpstreamState state);

    EntrySettings m_settings;
    FakeControl m_control;
    std::vector<std::unique_ptr<ScriptedEngine>> m_engines;
    std::vector<std::unique_ptr<ScriptedEngine>> m_services;
    std::vector<std::unique_ptr<Entry>> m_entries;
};

/// Polls \a condition, which another thread makes true; returns false when a generous time limit
/// passes first.
bool eventually(const std::function<bool()> &condition);
/// Member "error" of the response body; an empty object when there is none.
Json errorOf(const httplib::Result &result);
std::string completionBody(const std::string &prompt, int tokens, bool stream);

} // namespace rattanrill::entry
