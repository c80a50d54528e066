#pragma once

#include "rattanrill/base/json.h"

#include <boost/asio.hpp>

#include <atomic>

#include <string>
#include <thread>
#include <vector>

namespace rattanrill::ctl {

/// How a scripted server responds to one request.
struct Step
{
    /// HTTP status. With 0, the server reads the request and closes the connection without a
    /// response, which simulates a lost response.
    int status = 200;
    std::string body = "{}";
    std::string location;
};

/// Fake of the operator interface. Responds to each request with the next step of a list and
/// repeats the last step.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<Step> steps);
    /// Stops the server and joins its thread.
    ~ScriptedServer();

    struct ReceivedRequest
    {
        std::string method;
        std::string path;
        std::string authorization;
        Json body;
    };

    std::string address() const;
    /// Requests received so far. Not synchronized: call it only while no request is in progress.
    const std::vector<ReceivedRequest> &requests() const { return m_requests; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void run();
    void serve(Socket &socket);

    const std::vector<Step> m_steps;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<ReceivedRequest> m_requests;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace rattanrill::ctl
