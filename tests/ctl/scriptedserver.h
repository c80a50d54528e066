#pragma once

#include "rattanrill/base/json.h"

#include <boost/asio.hpp>

#include <atomic>

#include <string>
#include <thread>
#include <vector>

namespace rattanrill::ctl {

/// What a scripted server does with one request.
struct Step
{
    /// 0: reads the request and closes the connection, so that its answer is lost.
    int status = 200;
    std::string body = "{}";
    std::string location;
};

/// Operators' interface that answers the requests it gets by a list of steps; the last one repeats.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<Step> steps);
    /// Ends the server; requests() is complete then.
    ~ScriptedServer();

    struct Received
    {
        std::string method;
        std::string path;
        std::string authorization;
        Json body;
    };

    std::string address() const;
    /// Requests so far; read them when no request is under way.
    const std::vector<Received> &requests() const { return m_requests; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void run();
    void serve(Socket &socket);

    const std::vector<Step> m_steps;
    boost::asio::io_context m_service;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<Received> m_requests;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace rattanrill::ctl
