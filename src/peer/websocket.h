#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace rattanrill::peer {

using WebsocketClient = websocketpp::client<websocketpp::config::asio_client>;
using WebsocketServer = websocketpp::server<websocketpp::config::asio>;

/// Maximum size of a message in bytes until the other side has proved that it has the cluster
/// secret.
constexpr std::size_t maxHelloBytes = 16u << 10;

} // namespace rattanrill::peer
