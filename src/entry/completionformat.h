#pragma once

#include "completionrequest.h"

#include "rattanrill/engine/streamevents.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Writes answers in the form of the usual completions interface.
class CompletionFormat
{
public:
    /// \a createdSeconds is wall-clock time since the epoch.
    CompletionFormat(const CompletionRequest &request, std::string_view requestId,
                     std::int64_t createdSeconds);

    /// JSON text of a whole answer.
    std::string whole(const std::string &text, const engine::StreamSummary &end) const;
    /// Server-sent events of a streamed answer.
    std::string tokenEvent(const engine::Token &token) const;
    std::string endEvents(const engine::StreamSummary &end) const;

private:
    Json head(std::string_view object) const;
    Json chunk(Json choice) const;

    bool m_chat;
    bool m_streamUsage;
    std::string m_model;
    std::string m_id;
    std::int64_t m_createdSeconds;
};

/// One server-sent event.
std::string sseEvent(std::string_view data);

} // namespace rattanrill::entry
