#pragma once

#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanrill::net {

/// A response, possibly after other ones on the same connection, that tests cut at each byte.
struct CutResponse
{
    const char *name;
    std::string bytes;
    /// Body of the complete response. The body of a response without a length is cut together with
    /// the response.
    std::string body;
    /// Whether only the end of the connection marks the end of the body.
    bool endsWithConnection = false;
    /// Whether a response to the request "other" comes first.
    bool isAfterForeign = false;

    std::size_t headLength() const { return bytes.size() - body.size(); }
    /// Whether the first \a cut bytes and an orderly close make a complete response.
    bool isCompleteAfter(std::size_t cut) const
    {
        return endsWithConnection ? cut >= headLength() : cut == bytes.size();
    }
    /// Body of the complete response that the first \a cut bytes make.
    std::string bodyAfter(std::size_t cut) const
    {
        return endsWithConnection ? body.substr(0, cut - headLength()) : body;
    }
};

inline std::vector<CutResponse> cutResponses()
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Type: text/plain\r\n";
    const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string foreign = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 7\r\n\r\nforeign";
    return {
            {"length", head + "Content-Length: 5\r\n\r\nhello", "hello"},
            {"length and close", head + "Connection: close\r\nContent-Length: 5\r\n\r\nhello",
             "hello"},
            {"length of zero", head + "Content-Length: 0\r\n\r\n", ""},
            {"chunks", chunkedHead + "5\r\nhello\r\n6\r\n there\r\n0\r\n\r\n", "hello there"},
            {"chunk extension", chunkedHead + "5;a=\"b\"\r\nhello\r\n0;c\r\n\r\n", "hello"},
            {"trailer", chunkedHead + "5\r\nhello\r\n0\r\nSum: 12\r\nMore: 3\r\n\r\n", "hello"},
            {"chunks without data", chunkedHead + "0\r\n\r\n", ""},
            {"no content", "HTTP/1.1 204 No Content\r\nId: own\r\n\r\n", ""},
            {"interim response",
             "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello", "hello"},
            {"two interim responses",
             "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                     + chunkedHead + "5\r\nhello\r\n0\r\n\r\n",
             "hello"},
            {"response to another request", foreign + head + "Content-Length: 5\r\n\r\nhello",
             "hello", false, true},
            {"refusal", "HTTP/1.1 503 X\r\nId: own\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
             "full"},
            {"no length", head + "\r\nhello", "hello", true},
            {"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\nId: own\r\n\r\nhello", "hello", true},
            {"no length after an interim response",
             "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\nhello", "hello", true},
            {"no length, body like a response",
             head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
    };
}

/// A response of which a server sends the first bytes only before its connection ends.
struct ResponseCut
{
    CutResponse response;
    std::size_t length = 0;
    ConnectionEnd end = ConnectionEnd::Closed;

    /// Checks what a client reported: only a complete response may be reported as complete.
    void check(bool isReportedComplete, const std::string &body) const
    {
        BOOST_TEST_INFO_SCOPE(response.name << ", " << length << " bytes, reset "
                                            << (end == ConnectionEnd::Reset));
        const bool isReset = end == ConnectionEnd::Reset;
        const bool isFramedWhole = !response.endsWithConnection && response.isCompleteAfter(length);
        if (!isReset)
            BOOST_TEST(isReportedComplete == response.isCompleteAfter(length));
        // A reset may overtake the bytes of a complete response, but never completes one.
        if (isReset && !isFramedWhole)
            BOOST_TEST(!isReportedComplete);
        if (isReportedComplete)
            BOOST_TEST(body == response.bodyAfter(length));
    }
};

/// Each response of cutResponses(), cut at each byte, by an orderly close and by a reset.
inline std::vector<ResponseCut> responseCuts()
{
    std::vector<ResponseCut> cuts;
    for (const CutResponse &response : cutResponses()) {
        for (std::size_t length = 0; length <= response.bytes.size(); ++length) {
            for (const ConnectionEnd end : {ConnectionEnd::Closed, ConnectionEnd::Reset})
                cuts.push_back({response, length, end});
        }
    }
    return cuts;
}

inline std::vector<ScriptedAnswer> answersOf(const std::vector<ResponseCut> &cuts)
{
    std::vector<ScriptedAnswer> answers;
    for (const ResponseCut &cut : cuts)
        answers.push_back({cut.response.bytes.substr(0, cut.length), cut.end});
    return answers;
}

} // namespace rattanrill::net
