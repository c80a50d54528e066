#pragma once

#include "serverconnection.h"

#include "rattanrill/net/memorybudget.h"

#include <functional>
#include <memory>
#include <utility>

namespace rattanrill::net {

/// Exchange of the current request of a connection. Calls have no effect after the exchange has
/// ended or the connection was lost.
class ServerExchange : public Exchange
{
public:
    /// \a memory: share of the budget that the request uses; null if the memory is not bounded.
    ServerExchange(std::shared_ptr<ServerConnection> connection, Request request,
                   absl::Time receivedTime, std::unique_ptr<MemoryShare> memory)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
        , m_receivedAt(receivedTime)
        , m_memory(std::move(memory))
    {}

    ~ServerExchange() override
    {
        // A handler that releases the exchange without ending it must not leave the client waiting.
        if (m_connection)
            m_connection->abort();
    }

    const Request &request() const override { return m_request; }
    absl::Time receivedAt() const override { return m_receivedAt; }
    void onClientDisconnected(std::function<void()> handler) override
    {
        m_disconnectHandler = std::move(handler);
    }

    void onServerEnding(std::function<void()> handler) override
    {
        m_serverEndingHandler = std::move(handler);
    }

    void respond(Response response) override
    {
        if (const auto connection = end())
            connection->respond(std::move(response));
    }

    void startStream(ResponseHead head) override
    {
        m_streamStarted = true;
        if (m_connection)
            m_connection->startStream(std::move(head));
    }

    void write(std::string_view bytes) override
    {
        if (m_connection)
            m_connection->write(bytes);
    }

    void finish() override
    {
        if (const auto connection = end())
            connection->finish();
    }

    void abort() override
    {
        if (const auto connection = end())
            connection->abort();
    }

    bool streamStarted() const override { return m_streamStarted; }
    std::size_t unsentBytes() const override
    {
        return m_connection ? m_connection->unsentBytes() : 0;
    }

    /// Called by the connection when the client has disconnected.
    void handleDisconnect()
    {
        m_connection.reset();
        m_serverEndingHandler = nullptr;
        if (const auto handler = std::exchange(m_disconnectHandler, nullptr))
            handler();
    }

    /// Called by the connection when the server ends its open requests.
    void endWithServer()
    {
        if (const auto handler = std::exchange(m_serverEndingHandler, nullptr))
            handler();
        if (m_streamStarted)
            abort();
        else
            respond(textResponse(502, "the server is stopping\n", "text/plain"));
    }

private:
    /// Detaches the exchange from its connection and releases the handlers. The handlers may hold
    /// an object that holds this exchange; the reference cycle would keep all of them in memory.
    std::shared_ptr<ServerConnection> end()
    {
        m_disconnectHandler = nullptr;
        m_serverEndingHandler = nullptr;
        return std::exchange(m_connection, nullptr);
    }

    std::shared_ptr<ServerConnection> m_connection;
    Request m_request;
    absl::Time m_receivedAt;
    std::unique_ptr<MemoryShare> m_memory;
    std::function<void()> m_disconnectHandler;
    std::function<void()> m_serverEndingHandler;
    bool m_streamStarted = false;
};

} // namespace rattanrill::net
