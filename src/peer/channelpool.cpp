#include "rattanrill/peer/channelpool.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <utility>

namespace rattanrill::peer {

struct ChannelPool::Impl
{
    TransportOptions options;
    absl::Mutex mutex;
    std::map<std::string, std::shared_ptr<Channel>> channels ABSL_GUARDED_BY(mutex);
    bool closed ABSL_GUARDED_BY(mutex) = false;
};

ChannelPool::ChannelPool(TransportOptions options)
    : m_impl(new Impl)
{
    m_impl->options = std::move(options);
}

ChannelPool::~ChannelPool()
{
    close();
}

std::shared_ptr<Channel> ChannelPool::channel(const std::string &address)
{
    {
        absl::MutexLock lock(&m_impl->mutex);
        if (!m_impl->closed) {
            std::shared_ptr<Channel> &channel = m_impl->channels[address];
            if (!channel)
                channel = std::make_shared<Channel>(m_impl->options, address);
            return channel;
        }
    }
    // Calls on a channel of a closed pool fail with Stopped.
    auto channel = std::make_shared<Channel>(m_impl->options, address);
    channel->close();
    return channel;
}

void ChannelPool::remove(const std::string &address)
{
    std::shared_ptr<Channel> channel;
    {
        absl::MutexLock lock(&m_impl->mutex);
        const auto found = m_impl->channels.find(address);
        if (found == m_impl->channels.end())
            return;
        channel = std::move(found->second);
        m_impl->channels.erase(found);
    }
    channel->close();
}

void ChannelPool::close()
{
    std::map<std::string, std::shared_ptr<Channel>> channels;
    {
        absl::MutexLock lock(&m_impl->mutex);
        m_impl->closed = true;
        channels = m_impl->channels;
    }
    for (const auto &[address, channel] : channels)
        channel->close();
}

} // namespace rattanrill::peer
