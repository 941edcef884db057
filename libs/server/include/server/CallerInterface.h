#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "node/Actions.h"
#include "wire/Http.h"

namespace amaranthgap {

// Translation between HTTP as callers see it and the events and actions of a
// node; see section 10 of the design page. Pure functions.

/** @return the HTTP status of a refusal. */
int
StatusOf(Outcome aOutcome, Reason aReason);

/** @return the call, or the reason why the request is faulty. */
std::variant<CallerCall, Reason>
ParseCall(HttpRequest aRequest, bool aFromUpstream);

/** @return the request for a key, or the reason why it is faulty. */
std::variant<CallerKeyRequest, Reason>
ParseKeyRequest(const HttpRequest& aRequest);

/** @return the announcement, or what is wrong with the JSON text. */
std::variant<Announcement, std::string>
ParseAnnouncement(const std::string& aBody);

/** @return the HTTP form of an answer to a call. */
HttpResponse
RenderAnswer(AnswerCaller aAnswer);

/** @return a refusal that was decided before any call began. */
HttpResponse
RenderRefusal(int aStatus, Reason aReason);

/** @return a JSON answer. */
HttpResponse
RenderJson(int aStatus, std::string aBody);

/** @return the value of a query parameter, with percent signs decoded. */
std::optional<std::string>
QueryValue(std::string_view aQuery, std::string_view aName);

} // namespace amaranthgap
