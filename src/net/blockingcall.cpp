#include "rattanrill/net/blockingcall.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace rattanrill::net {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

/// Bound of a single wait, so that a wait until an infinite deadline does not overflow the clock.
constexpr absl::Duration maxWait = absl::Hours(1);
constexpr std::size_t readBufferBytes = 16384;

constexpr std::array<EnumName<BlockingCallEnd>, 10> endNames = {{
        {BlockingCallEnd::Complete, "complete"},
        {BlockingCallEnd::NotConnected, "not_connected"},
        {BlockingCallEnd::ConnectTimeout, "connect_timeout"},
        {BlockingCallEnd::Malformed, "malformed"},
        {BlockingCallEnd::Broken, "broken"},
        {BlockingCallEnd::TooLong, "too_long"},
        {BlockingCallEnd::IdleTimeout, "idle_timeout"},
        {BlockingCallEnd::DeadlinePassed, "deadline_passed"},
        {BlockingCallEnd::StoppedByHandler, "stopped_by_handler"},
        {BlockingCallEnd::Aborted, "aborted"},
}};

} // namespace

std::string_view name(BlockingCallEnd end)
{
    return nameOf(endNames, end);
}

struct BlockingCall::Impl
{
    Impl(std::string host, int port, BlockingCallTimeouts timeouts, const Clock &clock)
        : host(std::move(host))
        , port(port)
        , timeouts(timeouts)
        , clock(clock)
    {}

    absl::Duration untilDeadline() const { return timeouts.deadline - clock.now(); }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    /// Starts an asynchronous operation and waits for its end. Closes the socket and returns
    /// timed_out when the operation takes longer than \a timeout.
    template <typename Start>
    boost::system::error_code await(absl::Duration timeout, const Start &start)
    {
        std::optional<boost::system::error_code> result;
        start([&result](const boost::system::error_code &error) { result = error; });
        context.restart();
        const absl::Duration wait = std::clamp(timeout, absl::ZeroDuration(), maxWait);
        context.run_for(absl::ToChronoNanoseconds(wait));
        if (result)
            return *result;
        close();
        // The handler refers to this frame, so it must have run before the function returns.
        context.restart();
        context.run();
        return asio::error::timed_out;
    }

    std::optional<BlockingCallEnd> connect()
    {
        boost::system::error_code error;
        Tcp::resolver resolver(context);
        const auto endpoints = resolver.resolve(host, std::to_string(port), error);
        if (error || endpoints.empty())
            return BlockingCallEnd::NotConnected;
        const Tcp::endpoint endpoint = endpoints.begin()->endpoint();
        error = await(std::min(timeouts.connect, untilDeadline()),
                      [&](auto done) { socket.async_connect(endpoint, done); });
        if (isAborted)
            return BlockingCallEnd::Aborted;
        if (error == asio::error::timed_out)
            return BlockingCallEnd::ConnectTimeout;
        if (error)
            return BlockingCallEnd::NotConnected;
        socket.set_option(Tcp::no_delay(true), error);
        return std::nullopt;
    }

    /// A failed write is not reported: the peer may have responded before it closed the
    /// connection, so the following read decides. It may not get the error, which the operating
    /// system reports once.
    void send(const std::string &bytes)
    {
        const boost::system::error_code result =
                await(std::min(timeouts.idle, untilDeadline()), [&](auto done) {
                    asio::async_write(socket, asio::buffer(bytes),
                                      [done](const boost::system::error_code &error, std::size_t) {
                                          done(error);
                                      });
                });
        hasSendFailed = result.failed();
    }

    BlockingCallEnd receive(Handlers handlers)
    {
        ResponseParser parser(parserHandlers(handlers));
        while (true) {
            const absl::Duration remaining = untilDeadline();
            if (remaining <= absl::ZeroDuration())
                return BlockingCallEnd::DeadlinePassed;
            std::size_t size = 0;
            const boost::system::error_code error =
                    await(std::min(timeouts.idle, remaining), [&](auto done) {
                        socket.async_read_some(
                                asio::buffer(buffer),
                                [done, &size](const boost::system::error_code &readError,
                                              std::size_t bytes) {
                                    size = bytes;
                                    done(readError);
                                });
                    });
            if (isAborted)
                return BlockingCallEnd::Aborted;
            if (error == asio::error::timed_out)
                return untilDeadline() <= absl::ZeroDuration() ? BlockingCallEnd::DeadlinePassed
                                                               : BlockingCallEnd::IdleTimeout;
            if (error == asio::error::eof && !hasSendFailed)
                parser.handleEof();
            else if (error)
                return BlockingCallEnd::Broken;
            else
                parser.feed(std::string_view(buffer.data(), size));
            fault = parser.fault();
            if (isStoppedByHandler)
                return BlockingCallEnd::StoppedByHandler;
            if (parser.state() != ResponseParser::State::Reading)
                return endOf(parser);
        }
    }

    ResponseParser::Handlers parserHandlers(Handlers &handlers)
    {
        ResponseParser::Handlers result;
        result.onHead = [this, &handlers](const ResponseHead &head) {
            isStoppedByHandler = handlers.onHead && !handlers.onHead(head);
            return true;
        };
        result.onBody = [this, &handlers](std::string_view bytes) {
            if (!isStoppedByHandler)
                isStoppedByHandler = handlers.onBody && !handlers.onBody(bytes);
        };
        return result;
    }

    static BlockingCallEnd endOf(const ResponseParser &parser)
    {
        if (parser.state() == ResponseParser::State::Complete)
            return BlockingCallEnd::Complete;
        const bool isTooLong = parser.fault() == ResponseFault::HeadTooLong
                               || parser.fault() == ResponseFault::SkippedTooLong;
        return isTooLong ? BlockingCallEnd::TooLong : BlockingCallEnd::Broken;
    }

    const std::string host;
    const int port;
    const BlockingCallTimeouts timeouts;
    const Clock &clock;
    asio::io_context context{1};
    Tcp::socket socket{context};
    std::array<char, readBufferBytes> buffer;
    /// Set by a task on \a context, so that it needs no synchronization.
    bool isAborted = false;
    bool isStoppedByHandler = false;
    /// Whether the connection failed while the request was sent, so that its end is no orderly one.
    bool hasSendFailed = false;
    ResponseFault fault = ResponseFault::None;
};

BlockingCall::BlockingCall(std::string host, int port, BlockingCallTimeouts timeouts,
                           const Clock &clock)
    : m_impl(std::make_unique<Impl>(std::move(host), port, timeouts, clock))
{}

BlockingCall::~BlockingCall() = default;

BlockingCallEnd BlockingCall::run(Request request, Handlers handlers)
{
    request.headers.set("Host", concat(m_impl->host, ":", m_impl->port));
    request.headers.set("Connection", "close");
    const Outcome<std::string> text = serialize(request);
    if (!text.ok()) {
        log(LogLevel::Warning, "request-malformed",
            {{"peerAddress", request.headers.value("Host")}, {"reason", text.failure().detail}});
        return BlockingCallEnd::Malformed;
    }
    if (const auto failure = m_impl->connect())
        return *failure;
    m_impl->send(text.value());
    const BlockingCallEnd end = m_impl->receive(std::move(handlers));
    m_impl->close();
    return end;
}

BlockingCallEnd BlockingCall::fetch(Request request, std::size_t maxBodyBytes, Response &response)
{
    bool isBodyTooLong = false;
    Handlers handlers;
    handlers.onHead = [&](const ResponseHead &head) {
        response.head = head;
        return true;
    };
    handlers.onBody = [&](std::string_view bytes) {
        isBodyTooLong = response.body.size() + bytes.size() > maxBodyBytes;
        if (!isBodyTooLong)
            response.body.append(bytes);
        return !isBodyTooLong;
    };
    const BlockingCallEnd end = run(std::move(request), std::move(handlers));
    if (!isBodyTooLong)
        return end;
    m_impl->fault = ResponseFault::BodyTooLong;
    return BlockingCallEnd::TooLong;
}

void BlockingCall::abort()
{
    boost::asio::post(m_impl->context, [impl = m_impl.get()] {
        impl->isAborted = true;
        impl->close();
    });
}

ResponseFault BlockingCall::fault() const
{
    return m_impl->fault;
}

} // namespace rattanrill::net
