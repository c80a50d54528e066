#pragma once

#include "rattanrill/serving/eventstream.h"
#include "rattanrill/serving/protocoladapter.h"
#include "rattanrill/serving/upstreamcaller.h"

#include "absl/time/time.h"

#include <memory>
#include <string>

namespace rattanrill::serving {

/// One attempt of a ProxiedRequest at an upstream.
struct Attempt
{
    std::string upstream;
    std::string address;
    /// Version of the upstream's software.
    std::string version;
    /// Id of the slot that the attempt holds; empty when it holds none.
    std::string slotId;
    UpstreamCaller::CallId call = 0;
    /// Whether the call has not ended.
    bool isCalling = false;
    /// Whether the request was written, or passed to the entry that forwards it, so that the
    /// upstream may run it.
    bool isSent = false;
    /// Instance of the entry that forwards the call; empty when this process sends it.
    std::string forwarder;
    /// Whether the forwarder is the reason why the call ended.
    bool hasForwarderFailed = false;
    /// Whether no response came in time from the forwarder, which may be the reason itself.
    bool isForwarderSilent = false;
    /// Whether the upstream accepted a connection when it was silent.
    bool isReachable = false;
    /// Whether the attempt does not count, because it was not sent or did not reach its upstream.
    bool isDiscounted = false;
    absl::Time sentAt;
    /// The next three are valid once the head of the response has arrived.
    bool hasHead = false;
    net::ResponseHead head;
    ResponseInfo info;
    bool isStream = false;
    /// Whether an event or a part of the body arrived, that is, the upstream began to write the
    /// response.
    bool hasBegun = false;
    /// Body of a response that is not a stream, and all that a hedge has received.
    std::string body;
    EventSplitter splitter;
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace rattanrill::serving
