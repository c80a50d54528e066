#pragma once

#include "serverconnection.h"

#include <utility>

namespace rattanrill::net {

/// Exchange of the current request of a connection. After its end or the loss of the connection
/// its calls do nothing.
class ServerExchange : public Exchange
{
public:
    ServerExchange(std::shared_ptr<ServerConnection> connection, Request request, absl::Time at)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
        , m_receivedAt(at)
    {}

    ~ServerExchange() override
    {
        // A handler that drops the exchange must not leave the client waiting.
        if (m_connection)
            m_connection->abort();
    }

    const Request &request() const override { return m_request; }
    absl::Time receivedAt() const override { return m_receivedAt; }
    void onClientDisconnected(std::function<void()> handler) override
    {
        m_gone = std::move(handler);
    }

    void respond(Response response) override
    {
        m_gone = nullptr;
        if (const auto connection = std::exchange(m_connection, nullptr))
            connection->respond(std::move(response));
    }

    void startStream(ResponseHead head) override
    {
        m_started = true;
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
        m_gone = nullptr;
        if (const auto connection = std::exchange(m_connection, nullptr))
            connection->finish();
    }

    void abort() override
    {
        m_gone = nullptr;
        if (const auto connection = std::exchange(m_connection, nullptr))
            connection->abort();
    }

    bool streamStarted() const override { return m_started; }
    std::size_t unsentBytes() const override
    {
        return m_connection ? m_connection->unsentBytes() : 0;
    }

    /// The client left.
    void gone()
    {
        m_connection.reset();
        if (const auto handler = std::exchange(m_gone, nullptr))
            handler();
    }

private:
    std::shared_ptr<ServerConnection> m_connection;
    Request m_request;
    absl::Time m_receivedAt;
    /// Forgotten with the end of the answer: it holds its owner, which holds this exchange.
    std::function<void()> m_gone;
    bool m_started = false;
};

} // namespace rattanrill::net
