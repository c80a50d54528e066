#pragma once

#include "completionrequest.h"

#include "rattanrill/engine/streamevents.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Formats answers according to the callers' completions and chat completions interfaces.
class CompletionFormat
{
public:
    /// \a createdSeconds is the wall-clock time in seconds since the Unix epoch.
    CompletionFormat(const CompletionRequest &request, std::string_view requestId,
                     std::int64_t createdSeconds);

    /// Returns the complete answer as JSON text.
    std::string answerJson(const std::string &text, const engine::StreamSummary &summary) const;
    /// Return the server-sent events for one token and for the end of a streamed answer.
    std::string tokenEvent(const engine::Token &token) const;
    std::string endEvents(const engine::StreamSummary &summary) const;

private:
    Json commonMembers(std::string_view object) const;
    Json chunk(Json choice) const;

    bool m_chat;
    bool m_streamUsage;
    std::string m_model;
    std::string m_id;
    std::int64_t m_createdSeconds;
};

/// Formats \a data as one server-sent event.
std::string sseEvent(std::string_view data);

} // namespace rattanrill::entry
