#include "answerclassifier.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/fakes/answer.h"

namespace rattanrill::load {
namespace {

using fakes::AnswerVerdict;

constexpr std::string_view untypedCode = "untyped";
/// Maximum length of the part of an unexpected body that is quoted.
constexpr std::size_t excerptBytes = 120;

OutcomeType outcomeTypeOf(AnswerVerdict verdict)
{
    if (verdict == AnswerVerdict::Correct)
        return OutcomeType::Completed;
    return verdict == AnswerVerdict::Truncated ? OutcomeType::Truncated : OutcomeType::Mismatched;
}

std::string stringMember(const Json &json, const char *key)
{
    const bool has = json.is_object() && json.contains(key) && json.at(key).is_string();
    return has ? json.at(key).get<std::string>() : std::string();
}

/// Returns the text of the first choice of a completion or chat completion.
std::string completionText(const Json &body)
{
    const Json choices = body.is_object() ? body.value("choices", Json()) : Json();
    if (!choices.is_array() || choices.empty())
        return {};
    const Json &choice = choices.front();
    if (choice.is_object() && choice.contains("message"))
        return stringMember(choice.at("message"), "content");
    return stringMember(choice, "text");
}

void applyError(const Json &error, RequestOutcome &outcome)
{
    outcome.type = OutcomeType::Refused;
    outcome.code = stringMember(error, "code");
    outcome.effectState = stringMember(error, "run");
    outcome.detail = stringMember(error, "message");
    outcome.responseRequestId = stringMember(error, "request_id");
    if (outcome.code.empty())
        outcome.code = untypedCode;
}

std::string excerpt(std::string_view body)
{
    return std::string(body.substr(0, excerptBytes));
}

} // namespace

void classifyCompletion(const PlannedRequest &request, std::string_view body,
                        RequestOutcome &outcome)
{
    const Json json = Json::parse(body, nullptr, false);
    const std::string text = completionText(json);
    outcome.type = outcomeTypeOf(fakes::checkAnswer(request.prompt, text, request.maxTokens));
    if (outcome.type == OutcomeType::Completed)
        outcome.tokens = request.maxTokens;
    else
        outcome.detail = concat("unexpected body that begins with ", excerpt(body));
}

void classifyStream(const PlannedRequest &request, const StreamReader &reader, bool intact,
                    RequestOutcome &outcome)
{
    outcome.tokens = reader.tokens();
    outcome.detail = reader.formatError();
    const AnswerVerdict verdict =
            fakes::checkAnswer(request.prompt, reader.text(), request.maxTokens);
    if (verdict == AnswerVerdict::Mismatch || !reader.formatError().empty()) {
        outcome.type = OutcomeType::Mismatched;
        return;
    }
    if (reader.error()) {
        applyError(*reader.error(), outcome);
        return;
    }
    if (!reader.done() || !intact) {
        outcome.type = OutcomeType::Disconnected;
        outcome.detail = concat("stream ended early; tokens received: ", reader.tokens(), " of ",
                                request.maxTokens);
        return;
    }
    outcome.type = outcomeTypeOf(verdict);
    if (outcome.type == OutcomeType::Truncated)
        outcome.detail = concat("[DONE] came early; tokens received: ", reader.tokens(), " of ",
                                request.maxTokens, ", finish_reason ", reader.finishReason());
}

void classifyServiceResponse(const PlannedRequest &request, std::string_view body,
                             RequestOutcome &outcome)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool matches = stringMember(json, "echo") == fakes::hashText(request.body)
                         && stringMember(json, "path") == request.path;
    outcome.type = matches ? OutcomeType::Completed : OutcomeType::Mismatched;
    if (!matches)
        outcome.detail = concat("unexpected body that begins with ", excerpt(body));
}

void classifyErrorResponse(std::string_view body, RequestOutcome &outcome)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool typed = json.is_object() && json.contains("error");
    applyError(typed ? json.at("error") : Json(), outcome);
    if (!typed)
        outcome.detail = concat("unexpected body that begins with ", excerpt(body));
}

OutcomeType classifyBatchBody(const Json &requestBody, const Json &responseBody)
{
    const auto prompt = outcomeOf([&] { return fakes::promptOf(requestBody); });
    const auto tokens =
            outcomeOf([&] { return jsonMemberOr<std::int64_t>(requestBody, "max_tokens", 16); });
    if (!prompt.ok() || !tokens.ok())
        return OutcomeType::Mismatched;
    return outcomeTypeOf(
            fakes::checkAnswer(prompt.value(), completionText(responseBody), tokens.value()));
}

} // namespace rattanrill::load
