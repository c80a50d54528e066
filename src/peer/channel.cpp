#include "rattanrill/peer/channel.h"

#include "channelcore.h"

#include <utility>

namespace rattanrill::peer {

struct Channel::Impl
{
    std::shared_ptr<ChannelCore> core;
};

Channel::Channel(TransportOptions options, std::string address)
    : m_impl(new Impl{std::make_shared<ChannelCore>(std::move(options), std::move(address))})
{}

Channel::~Channel()
{
    close();
}

void Channel::call(wire::Method method, std::string body, absl::Duration timeout,
                   ResponseCallback reply)
{
    m_impl->core->call(method, std::move(body), timeout, std::move(reply));
}

void Channel::sendOneWay(wire::Method method, std::string body)
{
    m_impl->core->sendOneWay(method, std::move(body));
}

const std::string &Channel::address() const
{
    return m_impl->core->address();
}

bool Channel::connected() const
{
    return m_impl->core->connected();
}

void Channel::close()
{
    m_impl->core->close();
}

} // namespace rattanrill::peer
