#include "linkserver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/http/serversetup.h"

namespace rattanrill::fakes {
namespace {

constexpr double maxDelayMs = 600000;

Json toJson(const DirectionFaults &faults)
{
    return {{"mode", name(faults.mode)}, {"delay_ms", absl::ToDoubleMilliseconds(faults.delay)}};
}

Json toJson(const std::string &name, const TcpRelay &relay)
{
    const LinkFaults faults = relay.faults();
    const RelayCounters counters = relay.counters();
    return {{"name", name},
            {"forward", toJson(faults.forward)},
            {"backward", toJson(faults.backward)},
            {"accepted", counters.accepted},
            {"open", counters.open},
            {"lost_bytes", counters.droppedBytes}};
}

Result<void> change(DirectionFaults &faults, const Json &body)
{
    BOOST_LEAF_AUTO(mode, jsonMemberOr<std::string>(body, "mode", std::string(name(faults.mode))));
    BOOST_LEAF_ASSIGN(faults.mode, linkModeFromName(mode));
    BOOST_LEAF_AUTO(delayMs, jsonMemberOr<double>(body, "delay_ms",
                                                  absl::ToDoubleMilliseconds(faults.delay)));
    if (delayMs < 0 || delayMs > maxDelayMs)
        return fail(notRun(ErrorCode::InvalidRequest, "\"delay_ms\" must be from 0 to 600000"));
    faults.delay = absl::Milliseconds(delayMs);
    return {};
}

} // namespace

Result<LinkFaults> changedFaults(LinkFaults current, const Json &body)
{
    if (!body.is_object())
        return fail(notRun(ErrorCode::InvalidRequest, "faults must be an object"));
    for (const auto &[key, value] : body.items()) {
        if (key == "heal" && value == true)
            current = LinkFaults();
        else if (key != "forward" && key != "backward")
            return fail(notRun(ErrorCode::InvalidRequest, concat("unknown member \"", key, "\"")));
    }
    if (body.contains("forward"))
        BOOST_LEAF_CHECK(change(current.forward, body.at("forward")));
    if (body.contains("backward"))
        BOOST_LEAF_CHECK(change(current.backward, body.at("backward")));
    return current;
}

LinkServer::LinkServer(FakeHttpServer &server)
{
    server.Get("/links", [this](const httplib::Request &, httplib::Response &response) {
        sendLinks(response);
    });
    const httplib::Server::Handler set = [this](const httplib::Request &request,
                                                httplib::Response &response) {
        setFaults(request, response);
    };
    server.Post("/links", set);
    server.Post("/links/([^/]+)", set);
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        sendJson(response, {{"status", "ok"}});
    });
}

Result<int> LinkServer::addLink(const std::string &name, const RelayAddress &listen,
                                const RelayAddress &target)
{
    auto relay = std::make_unique<TcpRelay>(listen, [target] { return target; });
    BOOST_LEAF_AUTO(port, relay->start());
    m_links[name] = std::move(relay);
    return port;
}

void LinkServer::sendLinks(httplib::Response &response) const
{
    Json links = Json::array();
    for (const auto &[name, relay] : m_links)
        links.push_back(toJson(name, *relay));
    sendJson(response, {{"links", links}});
}

void LinkServer::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const std::string name = request.matches.size() > 1 ? request.matches[1].str() : std::string();
    const auto applied = outcomeOf([&] { return applyFaults(name, request.body); });
    if (applied.ok())
        sendLinks(response);
    else
        http::sendFailure(response, applied.failure(), "");
}

Result<void> LinkServer::applyFaults(const std::string &name, const std::string &text)
{
    BOOST_LEAF_AUTO(body, parseJson(text, "body"));
    if (!name.empty() && m_links.count(name) == 0)
        return fail(notRun(ErrorCode::NotFound, concat("unknown link \"", name, "\"")));
    for (const auto &[linkName, relay] : m_links) {
        if (!name.empty() && linkName != name)
            continue;
        BOOST_LEAF_AUTO(faults, changedFaults(relay->faults(), body));
        relay->setFaults(faults);
    }
    return {};
}

} // namespace rattanrill::fakes
