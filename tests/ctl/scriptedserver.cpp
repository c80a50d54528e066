#include "scriptedserver.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <sstream>

namespace rattanrill::ctl {
namespace {

std::size_t contentLength(const std::string &head)
{
    const std::string key = "Content-Length: ";
    const std::size_t at = head.find(key);
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + key.size()));
}

std::string headerOf(const std::string &head, const std::string &key)
{
    const std::size_t at = head.find(key + ": ");
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + key.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

ScriptedServer::ReceivedRequest parseRequest(const std::string &head, const std::string &body)
{
    ScriptedServer::ReceivedRequest received;
    std::istringstream line(head);
    line >> received.method >> received.path;
    received.authorization = headerOf(head, "Authorization");
    if (!body.empty())
        received.body = Json::parse(body);
    return received;
}

std::string responseText(const Step &step)
{
    const std::string location =
            step.location.empty() ? "" : concat("Location: ", step.location, "\r\n");
    return concat("HTTP/1.1 ", step.status, " x\r\nContent-Type: application/json\r\n", location,
                  "Connection: close\r\nContent-Length: ", step.body.size(), "\r\n\r\n", step.body);
}

} // namespace

ScriptedServer::ScriptedServer(std::vector<Step> steps)
    : m_steps(std::move(steps))
    , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    , m_thread([this] { run(); })
{}

ScriptedServer::~ScriptedServer()
{
    // A connection without a request unblocks accept(), so that the thread checks m_stopping.
    m_stopping = true;
    boost::system::error_code ignored;
    Socket socket(m_context);
    socket.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
}

std::string ScriptedServer::address() const
{
    return concat("127.0.0.1:", m_acceptor.local_endpoint().port());
}

void ScriptedServer::run()
{
    while (true) {
        boost::system::error_code error;
        Socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (error || m_stopping)
            return;
        serve(socket);
    }
}

void ScriptedServer::serve(Socket &socket)
{
    boost::system::error_code error;
    std::string text;
    const std::size_t headSize =
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
    if (error)
        return;
    const std::string head = text.substr(0, headSize);
    const std::size_t size = headSize + contentLength(head);
    if (text.size() < size)
        boost::asio::read(socket, boost::asio::dynamic_buffer(text),
                          boost::asio::transfer_exactly(size - text.size()), error);
    const Step &step = m_steps[std::min(m_requests.size(), m_steps.size() - 1)];
    m_requests.push_back(parseRequest(head, text.substr(headSize)));
    if (step.status != 0)
        boost::asio::write(socket, boost::asio::buffer(responseText(step)), error);
}

} // namespace rattanrill::ctl
