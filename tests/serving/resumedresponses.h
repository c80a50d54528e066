#pragma once

#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

namespace rattanrill::serving {

inline std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline const std::string lastChunk = "0\r\n\r\n";

inline std::string numberedEvent(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

/// A response to an attempt that is to resume a stream after its second event. The body of a wrong
/// one contains foreignText.
struct ResumedResponse
{
    const char *name;
    std::string bytes;
    /// The upstream closes the connection after the bytes.
    bool closes = false;
};

inline const std::string foreignText = "oops";

/// Response to the request "a" that a batch item does not survive.
inline ResumedResponse unprocessableResponse()
{
    return {"422", "HTTP/1.1 422 X\r\nId: a\r\nContent-Length: 4\r\n\r\n" + foreignText};
}

/// Responses of an upstream to the request "a" that do not continue the stream.
inline std::vector<ResumedResponse> wrongResumedResponses()
{
    const std::string id = "\r\nId: a\r\n";
    const std::string eventType = "Content-Type: text/event-stream\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string notRun = "Not-Run: 1\r\n";
    const std::string unnumbered = "data: " + foreignText + "\n\n";
    const std::string stream = "HTTP/1.1 200 OK" + id + eventType;
    const auto body = [](const std::string &text) {
        return "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    };
    const auto events = [&](const std::string &text) {
        return stream + chunks + chunk(text) + lastChunk;
    };
    const auto error = [&](int status, const std::string &headers = "") {
        return "HTTP/1.1 " + std::to_string(status) + " X" + id + headers + body(foreignText);
    };
    const std::string longBody(std::size_t(17) << 20, 'x');
    return {
            {"200 with another type",
             "HTTP/1.1 200 OK" + id + "Content-Type: text/plain\r\n" + body(foreignText)},
            {"200 with another type and events", "HTTP/1.1 200 OK" + id
                                                         + "Content-Type: text/html\r\n"
                                                         + body(numberedEvent(3) + unnumbered)},
            {"200 without a type", "HTTP/1.1 200 OK" + id + body(foreignText)},
            {"200 without a type or length", "HTTP/1.1 200 OK" + id + "\r\n" + foreignText, true},
            {"200, length of zero", stream + body("")},
            {"200, no chunk", stream + chunks + lastChunk},
            {"200, no length and no event", stream + "\r\n", true},
            {"200, comments only", events(": " + foreignText + "\n\n")},
            {"200 that did not run", stream + notRun + chunks + chunk(unnumbered) + lastChunk},
            {"204", "HTTP/1.1 204 No Content" + id + "\r\n"},
            {"204 with the type of a stream", "HTTP/1.1 204 No Content" + id + eventType + "\r\n"},
            {"301", error(301, "Location: /" + foreignText + "\r\n")},
            {"304", "HTTP/1.1 304 Not Modified" + id + "\r\n"},
            {"400", error(400)},
            {"404", error(404)},
            {"409", error(409)},
            {"429", error(429)},
            {"429 that did not run", error(429, notRun)},
            {"500", error(500)},
            {"502", error(502)},
            {"503", error(503)},
            {"503 that did not run", error(503, notRun)},
            {"504", error(504)},
            {"500 without a length", "HTTP/1.1 500 X" + id + "\r\n" + foreignText, true},
            {"500 in chunks",
             "HTTP/1.1 500 X" + id + chunks + chunk(foreignText) + chunk(foreignText) + lastChunk},
            {"500, body like events", "HTTP/1.1 500 X" + id + body(numberedEvent(3) + unnumbered)},
            {"500 with the type of a stream",
             "HTTP/1.1 500 X" + id + eventType + body(numberedEvent(3) + unnumbered)},
            {"503 that did not run, with the type of a stream",
             "HTTP/1.1 503 X" + id + notRun + eventType + body(numberedEvent(3) + unnumbered)},
            {"500 with a long body", "HTTP/1.1 500 X" + id + body(longBody)},
            {"200 with another type and a long body",
             "HTTP/1.1 200 OK" + id + "Content-Type: text/plain\r\n" + body(longBody)},
            {"500 cut in its body", "HTTP/1.1 500 X" + id + "Content-Length: 9\r\n\r\noops", true},
            {"500 cut in its head", "HTTP/1.1 500 X" + id + "Content-Le", true},
            {"stream cut in its head", "HTTP/1.1 200 OK" + id + "Content-Type: text/ev", true},
            {"event without an id", events(unnumbered)},
            {"event without an id, no length", stream + "\r\n" + unnumbered, true},
            {"event without an id before the next one", events(unnumbered + numberedEvent(3))},
            {"text that is no event", events(foreignText + "\n\n")},
            {"head of a response as the first event",
             events("HTTP/1.1 500 oops\r\nContent-Length: 4\r\n\r\noops")},
            {"wrong first id", events("id: 5\ndata: " + foreignText + "\n\n")},
            {"repeated events up to an earlier one", events(numberedEvent(1))},
    };
}

} // namespace rattanrill::serving
